/**
 * A planned stop: new work is refused, everything in flight ends, what was not
 * collected passes to a peer, and only then the process closes.
 */
import {exportSession, type JobOwner} from '@goldcrestpier/jobs';
import type {HandedOverSession, PeerCalls} from '@goldcrestpier/peers';
import {
  readClock,
  sleep,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';

const LOOK_MS = 20;
const REPORT_MS = 5_000;
const HAND_OVER_TIMEOUT_MS = 5_000;
const MAX_SUCCESSOR_TRIES = 3;
/** Sessions in one message, and about how large it may become. */
const SESSIONS_PER_PART = 50;
const BYTES_PER_PART = 1024 * 1024;

/** A peer that can answer for the sessions of this instance. */
export interface SuccessorPeer {
  readonly incarnation: string;
  readonly calls: Pick<PeerCalls, 'handOver'>;
}

/** What a planned stop is given. */
export interface PlannedStopOptions {
  readonly owner: JobOwner;
  readonly self: string;
  /** Tells peers and the balancer that this instance takes no new work. */
  readonly announceLeaving: () => Promise<void>;
  /** Picks a live peer that is not among `tried`. */
  readonly chooseSuccessor: (
    tried: ReadonlySet<string>,
    now: Millis,
  ) => SuccessorPeer | undefined;
  /** Tells all peers who answers for this instance's sessions. */
  readonly announceSuccessor: (successor: string) => Promise<void>;
  /** Requests of callers and peers that have not been answered. */
  readonly countOpenRequests: () => number;
  readonly logger: Logger;
}

/** Runs a planned stop up to the point where the process may close. */
export async function leaveGracefully(
  options: PlannedStopOptions,
): Promise<void> {
  const {owner, logger} = options;
  const openJobs = owner.openJobCount;
  logger.info('leaving', {openJobs});
  if (openJobs > 0) logger.warn('jobs are open at the stop', {openJobs});
  owner.leave();
  await options.announceLeaving();
  await waitForOpenWork(options);
  await handOver(options);
  logger.info('left');
}

async function waitForOpenWork({
  owner,
  countOpenRequests,
  logger,
}: PlannedStopOptions): Promise<void> {
  let reportAt = readClock() + REPORT_MS;
  while (owner.openJobCount > 0 || countOpenRequests() > 0) {
    await sleep(LOOK_MS);
    if (readClock() < reportAt) continue;
    reportAt += REPORT_MS;
    logger.info('still waiting for open work', {
      openJobs: owner.openJobCount,
      openRequests: countOpenRequests(),
    });
  }
}

async function handOver(options: PlannedStopOptions): Promise<void> {
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
      logger.info('handed over', {
        sessions: sessions.length,
        successor: successor.incarnation,
      });
      return;
    }
  }
  logger.warn('no peer took over the answers', {sessions: sessions.length});
}

async function sendSessions(
  self: string,
  sessions: readonly HandedOverSession[],
  successor: SuccessorPeer,
): Promise<boolean> {
  for (const part of splitIntoParts(sessions)) {
    const sent = await successor.calls.handOver(
      {from: self, sessions: part},
      HAND_OVER_TIMEOUT_MS,
    );
    if (sent.isErr()) return false;
  }
  return true;
}

/** Parts that peers take in one message each; a session may stand in several. */
function* splitIntoParts(
  sessions: readonly HandedOverSession[],
): Generator<HandedOverSession[]> {
  let part: HandedOverSession[] = [];
  let bytes = 0;
  for (const session of sessions.flatMap(splitSession)) {
    const size = JSON.stringify(session).length;
    const isFull = part.length === SESSIONS_PER_PART;
    if (part.length > 0 && (isFull || bytes + size > BYTES_PER_PART)) {
      yield part;
      part = [];
      bytes = 0;
    }
    part.push(session);
    bytes += size;
  }
  if (part.length > 0) yield part;
}

/** One piece for each large answer, so that no message holds two of them. */
function splitSession(session: HandedOverSession): HandedOverSession[] {
  if (JSON.stringify(session).length <= BYTES_PER_PART) return [session];
  const pieces = session.answers.map(answer => ({
    session: session.session,
    answers: [answer],
    closed: [],
  }));
  return [{...session, answers: []}, ...pieces];
}
