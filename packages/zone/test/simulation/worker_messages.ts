/** Requests to a simulated worker, as they arrive over the network. */
import type {Millis} from '@goldcrestpier/runtime';

/** A start request as it arrives over the network. */
export interface StartMessage {
  readonly task: string;
  readonly run: number;
  readonly needMillis: number;
  readonly token: number;
  readonly leaseUntil: Millis;
  readonly payload: string;
  /** `bornAt` of the process that the sender knew when it sent the request. */
  readonly knownBornAt: number;
}

/** A stop request. */
export interface StopMessage {
  readonly task: string;
  readonly run: number;
  readonly token: number;
}

/** A poll of all runs, which may extend their lease. */
export interface PollMessage {
  readonly token: number;
  readonly lastSeen: number;
  readonly leaseUntil: Millis | undefined;
  readonly waitMs: Millis;
}
