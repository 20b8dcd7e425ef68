/** One connection between two instances over the simulated network. */
import {
  PeerFailureKind,
  UnknownReason,
  type PeerFailure,
} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {SimulatedProcess} from './scheduler.js';

const disconnected: PeerFailure = {
  kind: PeerFailureKind.Unknown,
  reason: UnknownReason.Disconnected,
};

/** A process that listens for peers. */
export interface Listener {
  readonly machine: string;
  readonly process: SimulatedProcess;
  /** Calls a method of the router by name. */
  readonly call: (name: string, input: unknown) => Promise<unknown>;
  /** Handles a ping from the instance with this id. */
  readonly onPing: (id: string) => void;
  /** Callbacks of the peers for the exit of the process. */
  readonly exitCallbacks: Set<() => void>;
}

/** A connection; messages in one direction arrive in order. */
export class Connection {
  isOpen = true;
  silentChecks = 0;
  heardAt: Millis | undefined;
  /** When the last message in each direction arrives. */
  lastRequestAt: Millis = 0;
  lastAnswerAt: Millis = 0;
  readonly pendingCalls = new Set<(failure: PeerFailure) => void>();
  onClosed: () => void = () => undefined;

  constructor(
    readonly listener: Listener,
    readonly openedAt: Millis,
  ) {}

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    for (const fail of [...this.pendingCalls]) fail(disconnected);
    this.onClosed();
  }
}
