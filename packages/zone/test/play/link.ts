/** Links between instances over the played network, with the real router. */
import {
  NotSentReason,
  PeerFailureKind,
  UnknownReason,
  type CallLink,
  type PeerFailure,
} from '@goldcrestpier/peers';
import {
  readClock,
  sleep,
  startReadingTimeout,
  type Lifecycle,
  type Millis,
} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Network} from './network.js';
import type {Random} from './random.js';
import type {Process, Scheduler} from './scheduler.js';

const CONNECT_MS = 400;
/** A connection on which nothing arrives for so many looks is ended. */
const SILENCE_LOOKS = 4;
const SILENCE_LOOK_MS = 225;
const SHORTEST_RETRY_MS = 50;
const LONGEST_RETRY_MS = 400;

const notSent: PeerFailure = {
  kind: PeerFailureKind.NotSent,
  reason: NotSentReason.Disconnected,
};
const disconnected: PeerFailure = {
  kind: PeerFailureKind.Unknown,
  reason: UnknownReason.Disconnected,
};
const timedOut: PeerFailure = {
  kind: PeerFailureKind.Unknown,
  reason: UnknownReason.TimedOut,
};

/** A process that listens for peers. */
export interface Listener {
  readonly machine: string;
  readonly process: Process;
  /** Calls a method of the router. */
  readonly call: (name: string, input: unknown) => Promise<unknown>;
  /** Takes a sign of life of the instance with this id. */
  readonly onPing: (id: string) => void;
  /** Called at the other ends when the process is gone. */
  readonly onGone: Set<() => void>;
}

/** What links need. */
export interface PlayedLinkOptions {
  /** The id of the instance at this end. */
  readonly id: string;
  readonly machine: string;
  readonly process: Process;
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  /** The process that listens at an address at present. */
  readonly findListener: (address: string) => Listener | undefined;
}

/** One connection; messages of one direction arrive in order. */
class Connection {
  isOpen = true;
  quietLooks = 0;
  heardAt: Millis | undefined;
  sentUntil: Millis = 0;
  answeredUntil: Millis = 0;
  readonly waiting = new Set<(failure: PeerFailure) => void>();
  onClosed: () => void = () => undefined;

  constructor(
    readonly listener: Listener,
    readonly openedAt: Millis,
  ) {}

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    for (const fail of [...this.waiting]) fail(disconnected);
    this.onClosed();
  }
}

/** A link that connects again whenever its connection is lost. */
export class PlayedLink implements CallLink {
  private connection: Connection | undefined;
  private isTurnedAway = false;

  constructor(
    readonly address: string,
    private readonly options: PlayedLinkOptions,
    private readonly lifecycle: Lifecycle,
  ) {
    const loop = (signal: AbortSignal) => this.keepConnected(signal);
    lifecycle.run('connection', loop, cause => {
      throw cause;
    });
  }

  /** Whether there is a connection. */
  isConnected(): boolean {
    return this.connection !== undefined;
  }

  /** When the present connection was opened. */
  connectedAt(): Millis | undefined {
    return this.connection?.openedAt;
  }

  /** When something last arrived on the present connection. */
  heardAt(): Millis | undefined {
    return this.connection?.heardAt;
  }

  /** Asks for a sign of life. */
  ping(): void {
    if (this.connection !== undefined) this.sendPing(this.connection);
  }

  /** Whether the host last said that no process listens there. */
  isRefused(): boolean {
    return !this.isConnected() && this.isTurnedAway;
  }

  /** Ends the link. */
  async close(): Promise<void> {
    await this.lifecycle.close();
  }

  /** Sends one call. */
  call(
    name: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>> {
    const {connection} = this;
    if (connection === undefined) {
      return Promise.resolve(Err(notSent));
    }
    return new Promise(resolve => {
      const end = (result: Result<unknown, PeerFailure>) => {
        cancelTimeout();
        connection.waiting.delete(fail);
        resolve(result);
      };
      const fail = (failure: PeerFailure) => end(Err(failure));
      const cancelTimeout = startReadingTimeout(
        () => fail(timedOut),
        timeoutMs,
      );
      connection.waiting.add(fail);
      this.send(connection, name, copy(input), answer => end(Ok(answer)));
    });
  }

  private send(
    connection: Connection,
    name: string,
    input: unknown,
    settle: (answer: unknown) => void,
  ): void {
    const {machine, scheduler, network} = this.options;
    const {listener} = connection;
    const arrivesAt = network.arrivesAt(machine, listener.machine);
    connection.sentUntil = Math.max(connection.sentUntil, arrivesAt);
    scheduler.deliver(connection.sentUntil, listener.process, () => {
      if (!connection.isOpen && !network.arrivesAnyway()) return;
      void listener.call(name, input).then(answer => {
        this.answer(connection, () => settle(copy(answer)));
      });
    });
  }

  /** Brings something back to this end. */
  private answer(connection: Connection, take: () => void): void {
    const {machine, process, scheduler, network} = this.options;
    const backAt = network.arrivesAt(connection.listener.machine, machine);
    connection.answeredUntil = Math.max(connection.answeredUntil, backAt);
    scheduler.deliver(connection.answeredUntil, process, () => {
      if (!connection.isOpen) return;
      connection.quietLooks = 0;
      connection.heardAt = readClock();
      take();
    });
  }

  private async keepConnected(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      const connection = await this.connect(signal);
      if (connection === undefined) failures += 1;
      else {
        failures = 0;
        await this.serve(connection, signal);
      }
      const {random} = this.options;
      const longest = SHORTEST_RETRY_MS * 2 ** failures;
      const retryMs = Math.min(longest, LONGEST_RETRY_MS);
      await sleep(retryMs * random.between(0.5, 1), signal);
    }
  }

  /** Opens a connection; the host answers at once where nobody listens. */
  private connect(signal: AbortSignal): Promise<Connection | undefined> {
    const {machine, process, scheduler, network, findListener} = this.options;
    return new Promise(resolve => {
      let isOver = false;
      const end = (connection: Connection | undefined) => {
        isOver = true;
        cancelTimeout();
        signal.removeEventListener('abort', give);
        resolve(connection);
      };
      const give = () => end(undefined);
      const cancelTimeout = startReadingTimeout(give, CONNECT_MS);
      signal.addEventListener('abort', give, {once: true});
      const host = toMachine(this.address);
      const reply = (take: () => void) =>
        scheduler.deliver(network.arrivesAt(host, machine), process, () => {
          if (!isOver) take();
        });
      scheduler.deliver(network.arrivesAt(machine, host), undefined, () => {
        const listener = findListener(this.address);
        if (listener === undefined) {
          return reply(() => {
            this.isTurnedAway = true;
            end(undefined);
          });
        }
        scheduler.deliver(scheduler.now, listener.process, () =>
          reply(() => {
            this.isTurnedAway = false;
            end(new Connection(listener, readClock()));
          }),
        );
      });
    });
  }

  /** Keeps a connection until it is silent, lost or not wanted. */
  private async serve(
    connection: Connection,
    signal: AbortSignal,
  ): Promise<void> {
    const {listener} = connection;
    const lose = () => this.answer(connection, () => connection.close());
    listener.onGone.add(lose);
    if (listener.process.isGone) lose();
    this.connection = connection;
    await new Promise<void>(resolve => {
      const timer = setInterval(() => this.look(connection), SILENCE_LOOK_MS);
      const close = () => connection.close();
      connection.onClosed = () => {
        clearInterval(timer);
        signal.removeEventListener('abort', close);
        resolve();
      };
      signal.addEventListener('abort', close, {once: true});
      if (signal.aborted) close();
    });
    listener.onGone.delete(lose);
    this.connection = undefined;
  }

  private look(connection: Connection): void {
    connection.quietLooks += 1;
    if (connection.quietLooks > SILENCE_LOOKS) return connection.close();
    this.sendPing(connection);
  }

  private sendPing(connection: Connection): void {
    const {id, machine, scheduler, network} = this.options;
    const {listener} = connection;
    const arrivesAt = network.arrivesAt(machine, listener.machine);
    connection.sentUntil = Math.max(connection.sentUntil, arrivesAt);
    scheduler.deliver(connection.sentUntil, listener.process, () => {
      listener.onPing(id);
      this.answer(connection, () => undefined);
    });
  }
}

/** The machine of a `host:port`. */
export function toMachine(address: string): string {
  const [host = address] = address.split(':');
  return host;
}

function copy(value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}
