/** One connection between two instances over the simulated network. */
import {
  PeerFailureKind,
  UnknownReason,
  type PeerFailure,
} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {Network} from './network.js';
import type {Random} from './random.js';
import type {SimulatedProcess, Scheduler} from './scheduler.js';

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
  /** Handles a connection that the instance with this id has opened. */
  readonly onOpened: (id: string) => void;
  /** Handles the end of such a connection. */
  readonly onClosed: (id: string) => void;
  /** Callbacks of the peers for the exit of the process. */
  readonly exitCallbacks: Set<() => void>;
}

/** Parameters of links. */
export interface SimulatedLinkOptions {
  /** The id of the instance at this end. */
  readonly id: string;
  readonly machine: string;
  readonly process: SimulatedProcess;
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  /** Finds the process that listens at an address. */
  readonly findListener: (address: string) => Listener | undefined;
}

/** From the end of a connection until its listener notices it, in ms. */
const CLOSE_NOTICE_MS = 1;
/** The same when the network is cut between them, in ms. */
const SILENCE_NOTICE_MS = 1_000;

/** The end of a connection at the listener. */
export class ListenerEnd {
  private isOpen = true;
  private readonly handleExit = () => this.close();

  constructor(
    readonly listener: Listener,
    private readonly options: SimulatedLinkOptions,
  ) {
    listener.onOpened(options.id);
    options.process.exitCallbacks.add(this.handleExit);
  }

  /** Has the listener notice the end of the connection. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    const {listener, options, handleExit} = this;
    const {id, machine, process, scheduler, network} = options;
    process.exitCallbacks.delete(handleExit);
    const isHeard = network.isOpen(machine, listener.machine);
    const noticeMs = isHeard ? CLOSE_NOTICE_MS : SILENCE_NOTICE_MS;
    scheduler.deliver(scheduler.now + noticeMs, listener.process, () =>
      listener.onClosed(id),
    );
  }
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
    private readonly listenerEnd: ListenerEnd,
    readonly openedAt: Millis,
  ) {}

  get listener(): Listener {
    return this.listenerEnd.listener;
  }

  /** Has its listener notice that it ends, though this end has not yet. */
  closeAtListener(): void {
    this.listenerEnd.close();
  }

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.closeAtListener();
    for (const fail of [...this.pendingCalls]) fail(disconnected);
    this.onClosed();
  }
}
