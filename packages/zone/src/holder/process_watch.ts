/**
 * Notices idle workers whose process may have been replaced. After a change of
 * holder the next process may execute a command of the former holder late: it
 * has seen no fencing token until it is polled, and those that knew of the
 * command may be gone.
 */
import {
  FORMER_HOLDER_STOP_MS,
  MAX_COMMAND_DELAY_MS,
  type WorkerRecord,
} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerPort} from '../ports/index.js';

/** Time after a claim in which commands of a former holder may arrive, in ms. */
const LATE_COMMANDS_MS = FORMER_HOLDER_STOP_MS + MAX_COMMAND_DELAY_MS;

/** Notices that connections to workers have closed, for some time. */
export class ProcessWatch {
  constructor(
    private readonly workerPort: Pick<WorkerPort, 'lastDisconnectAt'>,
    private readonly holderSince: Millis,
  ) {}

  /** Whether a command of a former holder may still arrive at a worker. */
  mayCommandsArrive(now: Millis): boolean {
    return now < this.holderSince + LATE_COMMANDS_MS;
  }

  /** Whether a worker's process may not have seen the holder's token. */
  mayBeUnfenced(
    {info, answeredPollSentAt, hasAcceptedToken}: WorkerRecord,
    now: Millis,
  ): boolean {
    if (!hasAcceptedToken || !this.mayCommandsArrive(now)) return false;
    return this.workerPort.lastDisconnectAt(info) >= answeredPollSentAt;
  }
}
