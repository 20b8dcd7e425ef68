/** One loop for each peer: it sends heartbeats and hands their answers on. */
import type {Heartbeat, PeerLink} from '@goldcrestpier/peers';
import {sleep, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import type {AnswerEvidence} from '../view/index.js';
import {addJitter} from './pace.js';

/** Shortest time to wait for a heartbeat's answer, in ms. */
const MIN_TIMEOUT_MS = 1_000;
/** How often a loop looks whether its link is connected, in ms. */
const CONNECT_LOOK_MS = 50;
/** Intervals after which an answer is asked for in any case. */
const INTERVALS_TO_ANSWER = 8;

/** What a loop asks of and tells its membership. */
export interface PeerLoopOwner {
  /** The heartbeat to send to this address. */
  compose(address: string, now: Millis): Heartbeat;
  /** Takes an answer. */
  takeAnswer(answer: Heartbeat, evidence: AnswerEvidence, now: Millis): void;
  /** Takes a host's word that no process listens at this address. */
  noteRefused(address: string, now: Millis): void;
  /** The present interval to this address, in ms. */
  chooseInterval(address: string): Millis;
  /** When the instance at this address was last heard. */
  findHeardAt(address: string): Millis | undefined;
}

/** What sending a heartbeat needs. */
export interface HeartbeatSender {
  readonly link: PeerLink;
  readonly owner: PeerLoopOwner;
  readonly clock: () => Millis;
}

/** What a loop needs. */
export interface PeerLoopOptions extends HeartbeatSender {
  readonly onFailure: (cause: unknown) => void;
}

/** Runs the loop until `lifecycle` closes. */
export function runPeerLoop(
  options: PeerLoopOptions,
  lifecycle: Lifecycle,
): void {
  const name = `heartbeats to ${options.link.address}`;
  lifecycle.run(name, signal => loop(options, signal), options.onFailure);
}

/** The last exchange that a peer answered. */
interface LastAnswer {
  readonly connectedAt: Millis;
  readonly at: Millis;
}

async function loop(
  options: PeerLoopOptions,
  signal: AbortSignal,
): Promise<void> {
  const {link, owner} = options;
  let last: LastAnswer | undefined;
  while (!signal.aborted) {
    const connectedAt = link.connectedAt();
    if (connectedAt === undefined) {
      if (link.isRefused()) owner.noteRefused(link.address, options.clock());
      await sleep(CONNECT_LOOK_MS, signal);
      continue;
    }
    const intervalMs = owner.chooseInterval(link.address);
    if (isDue(options, last, intervalMs)) {
      const timeoutMs = Math.max(intervalMs, MIN_TIMEOUT_MS);
      const answeredAt = await sendHeartbeat(options, connectedAt, timeoutMs);
      if (answeredAt !== undefined) last = {connectedAt, at: answeredAt};
    }
    const nextMs = owner.chooseInterval(link.address);
    await sleep(addJitter(nextMs, Math.random()), signal);
  }
}

/**
 * Whether to send one. The peer's own heartbeat, and the answer it got, have
 * told each of the other already; so one of the two is enough. Only an answer
 * shows who listens at the address, so one is asked for now and then.
 */
function isDue(
  {link, owner, clock}: PeerLoopOptions,
  last: LastAnswer | undefined,
  intervalMs: Millis,
): boolean {
  if (last === undefined || last.connectedAt !== link.connectedAt())
    return true;
  const now = clock();
  if (now - last.at > intervalMs * INTERVALS_TO_ANSWER) return true;
  const heardAt = owner.findHeardAt(link.address);
  return heardAt === undefined || now - heardAt >= intervalMs / 2;
}

/** Sends one heartbeat; says when it was answered, if it was. */
export async function sendHeartbeat(
  {link, owner, clock}: HeartbeatSender,
  connectedAt: Millis,
  timeoutMs: Millis,
): Promise<Millis | undefined> {
  const sentAt = clock();
  const message = owner.compose(link.address, sentAt);
  const answer = await link.heartbeat(message, timeoutMs);
  if (answer.isErr()) return undefined;
  const now = clock();
  const evidence = {address: link.address, connectedAt, sentAt};
  owner.takeAnswer(answer.value, evidence, now);
  return now;
}
