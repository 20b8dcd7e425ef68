/**
 * Planned stop of an instance. It refuses new work, waits for open jobs and
 * requests to end, and hands the answers that callers may still collect over to
 * a peer. Only then may the process exit.
 */
import {exportSession, type JobOwner} from '@goldcrestpier/jobs';
import type {HandedOverSession, PeerCalls} from '@goldcrestpier/peers';
import {
  readClock,
  sleep,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';

const OPEN_WORK_POLL_MS = 20;
const PROGRESS_LOG_INTERVAL_MS = 5_000;
const HAND_OVER_TIMEOUT_MS = 5_000;
const MAX_SUCCESSOR_TRIES = 3;
const MAX_SESSIONS_PER_MESSAGE = 50;
/** Approximate: a single answer may be larger. */
const TARGET_BYTES_PER_MESSAGE = 1024 * 1024;

/** A peer that can take over the sessions of this instance. */
export interface SuccessorPeer {
  readonly incarnation: string;
  readonly calls: Pick<PeerCalls, 'handOver'>;
}

/** Dependencies of a planned stop. */
export interface PlannedStopOptions {
  readonly owner: JobOwner;
  readonly self: string;
  /** Tells peers and the balancer that this instance accepts no new work. */
  readonly announceLeaving: () => Promise<void>;
  /** Chooses a peer that is not in `tried`; undefined if there is none. */
  readonly chooseSuccessor: (
    tried: ReadonlySet<string>,
    now: Millis,
  ) => SuccessorPeer | undefined;
  /** Tells all peers which instance has taken over the sessions. */
  readonly announceSuccessor: (successor: string) => Promise<void>;
  /** Returns the number of requests that have not been answered. */
  readonly countOpenRequests: () => number;
  readonly logger: Logger;
}

/** Runs a planned stop; resolves when the process may close. */
export async function runPlannedStop(
  options: PlannedStopOptions,
): Promise<void> {
  const {owner, logger} = options;
  const openJobs = owner.openJobCount;
  logger.info('planned stop started', {openJobs});
  if (openJobs > 0) logger.warn('planned stop has open jobs', {openJobs});
  owner.leave();
  await options.announceLeaving();
  await waitForOpenWork(options);
  await handOverSessions(options);
  logger.info('planned stop finished');
}

async function waitForOpenWork({
  owner,
  countOpenRequests,
  logger,
}: PlannedStopOptions): Promise<void> {
  let nextLogAt = readClock() + PROGRESS_LOG_INTERVAL_MS;
  while (owner.openJobCount > 0 || countOpenRequests() > 0) {
    await sleep(OPEN_WORK_POLL_MS);
    if (readClock() < nextLogAt) continue;
    nextLogAt += PROGRESS_LOG_INTERVAL_MS;
    logger.info('waiting for open jobs and requests to end', {
      openJobs: owner.openJobCount,
      openRequests: countOpenRequests(),
    });
  }
}

async function handOverSessions(options: PlannedStopOptions): Promise<void> {
  const {owner, logger} = options;
  const sessions = [...owner.listSessions()]
    .map(exportSession)
    .filter(({answers, closed}) => answers.length + closed.length > 0);
  if (sessions.length === 0) return;
  const tried = new Set<string>();
  while (tried.size < MAX_SUCCESSOR_TRIES) {
    const successor = options.chooseSuccessor(tried, readClock());
    if (successor === undefined) break;
    tried.add(successor.incarnation);
    if (await sendSessions(options.self, sessions, successor)) {
      await options.announceSuccessor(successor.incarnation);
      logger.info('sessions handed over to a peer', {
        sessions: sessions.length,
        successor: successor.incarnation,
      });
      return;
    }
  }
  logger.warn('no peer took over the sessions; their answers are lost', {
    sessions: sessions.length,
  });
}

async function sendSessions(
  self: string,
  sessions: readonly HandedOverSession[],
  successor: SuccessorPeer,
): Promise<boolean> {
  for (const batch of splitIntoBatches(sessions)) {
    const result = await successor.calls.handOver(
      {from: self, sessions: batch},
      HAND_OVER_TIMEOUT_MS,
    );
    if (result.isErr()) return false;
  }
  return true;
}

/** Splits sessions into messages; a large session may span several of them. */
function* splitIntoBatches(
  sessions: readonly HandedOverSession[],
): Generator<HandedOverSession[]> {
  let batch: HandedOverSession[] = [];
  let bytes = 0;
  for (const session of sessions.flatMap(splitSession)) {
    const size = JSON.stringify(session).length;
    const isFull = batch.length === MAX_SESSIONS_PER_MESSAGE;
    if (
      batch.length > 0 &&
      (isFull || bytes + size > TARGET_BYTES_PER_MESSAGE)
    ) {
      yield batch;
      batch = [];
      bytes = 0;
    }
    batch.push(session);
    bytes += size;
  }
  if (batch.length > 0) yield batch;
}

/**
 * Splits a large session into pieces of one answer each, so that two large
 * answers need not be in the same message.
 */
function splitSession(session: HandedOverSession): HandedOverSession[] {
  if (JSON.stringify(session).length <= TARGET_BYTES_PER_MESSAGE)
    return [session];
  const pieces = session.answers.map(answer => ({
    session: session.session,
    answers: [answer],
    closed: [],
  }));
  return [{...session, answers: []}, ...pieces];
}
