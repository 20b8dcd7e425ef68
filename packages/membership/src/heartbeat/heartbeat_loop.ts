/** Loop that sends heartbeats to one peer and passes on the answers. */
import type {Heartbeat, PeerLink} from '@goldcrestpier/peers';
import {sleep, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import type {HeartbeatAck} from '../view/index.js';
import {addJitter} from './schedule.js';

/** Minimum timeout for the answer to a heartbeat, in ms. */
const MIN_ANSWER_TIMEOUT_MS = 1_000;
/** How often a loop checks whether its link is connected, in ms. */
const CONNECT_POLL_MS = 50;
/** Intervals since the last answer after which a heartbeat is always due. */
const MAX_INTERVALS_BETWEEN_ANSWERS = 8;

/** The operations that a heartbeat loop needs from membership. */
export interface HeartbeatDelegate {
  /** Composes the heartbeat to send to an address. */
  composeHeartbeat(address: string, now: Millis): Heartbeat;
  /** Handles the answer to a heartbeat. */
  handleAnswer(answer: Heartbeat, ack: HeartbeatAck, now: Millis): void;
  /** Records that the host refused a connection to an address. */
  recordConnectionRefused(address: string, now: Millis): void;
  /** The current heartbeat interval for an address, in ms. */
  chooseInterval(address: string): Millis;
  /** When the instance at an address last sent a heartbeat or answer. */
  findLastSeenAt(address: string): Millis | undefined;
}

/** Dependencies of sending a heartbeat. */
export interface HeartbeatSendOptions {
  readonly link: PeerLink;
  readonly delegate: HeartbeatDelegate;
  readonly clock: () => Millis;
}

/** Dependencies of a heartbeat loop. */
export interface HeartbeatLoopOptions extends HeartbeatSendOptions {
  readonly onFailure: (cause: unknown) => void;
}

/** Starts the loop, which runs until `lifecycle` closes. */
export function startHeartbeatLoop(
  options: HeartbeatLoopOptions,
  lifecycle: Lifecycle,
): void {
  const name = `heartbeats to ${options.link.address}`;
  lifecycle.run(
    name,
    signal => runHeartbeatLoop(options, signal),
    options.onFailure,
  );
}

/** The last answer of a peer and the connection that carried it. */
interface LastAnswer {
  readonly connectedAt: Millis;
  readonly at: Millis;
}

async function runHeartbeatLoop(
  options: HeartbeatLoopOptions,
  signal: AbortSignal,
): Promise<void> {
  const {link, delegate} = options;
  let lastAnswer: LastAnswer | undefined;
  while (!signal.aborted) {
    const connectedAt = link.connectedAt();
    if (connectedAt === undefined) {
      if (link.refusedAt() !== undefined)
        delegate.recordConnectionRefused(link.address, options.clock());
      await sleep(CONNECT_POLL_MS, signal);
      continue;
    }
    const intervalMs = delegate.chooseInterval(link.address);
    if (isHeartbeatDue(options, lastAnswer, intervalMs)) {
      const timeoutMs = Math.max(intervalMs, MIN_ANSWER_TIMEOUT_MS);
      const answeredAt = await sendHeartbeat(options, connectedAt, timeoutMs);
      if (answeredAt !== undefined) lastAnswer = {connectedAt, at: answeredAt};
    }
    const nextMs = delegate.chooseInterval(link.address);
    await sleep(addJitter(nextMs, Math.random()), signal);
  }
}

/**
 * Whether a heartbeat is due. A recent heartbeat from the peer and its answer
 * have already informed both sides, so another is skipped. Only an answer shows
 * which incarnation listens at the address, so one is requested periodically.
 */
function isHeartbeatDue(
  {link, delegate, clock}: HeartbeatLoopOptions,
  lastAnswer: LastAnswer | undefined,
  intervalMs: Millis,
): boolean {
  if (lastAnswer === undefined || lastAnswer.connectedAt !== link.connectedAt())
    return true;
  const now = clock();
  if (now - lastAnswer.at > intervalMs * MAX_INTERVALS_BETWEEN_ANSWERS)
    return true;
  const lastSeenAt = delegate.findLastSeenAt(link.address);
  return lastSeenAt === undefined || now - lastSeenAt >= intervalMs / 2;
}

/** Sends one heartbeat; returns when it was answered, or undefined. */
export async function sendHeartbeat(
  {link, delegate, clock}: HeartbeatSendOptions,
  connectedAt: Millis,
  timeoutMs: Millis,
): Promise<Millis | undefined> {
  const sentAt = clock();
  const message = delegate.composeHeartbeat(link.address, sentAt);
  const answer = await link.heartbeat(message, timeoutMs);
  if (answer.isErr()) return undefined;
  const now = clock();
  const ack = {address: link.address, connectedAt, sentAt};
  delegate.handleAnswer(answer.value, ack, now);
  return now;
}
