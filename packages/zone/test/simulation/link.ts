/** Links between instances over the simulated network, with the real router. */
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
  startTimeoutAfterReads,
  type Lifecycle,
  type Millis,
} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {CUT_NOTICE_MS, CutKind} from './connection_cuts.js';
import {
  Connection,
  ListenerEnd,
  type SimulatedLinkOptions,
} from './connection.js';

const CONNECT_MS = 400;
/** A connection without a message for more than this many checks is closed. */
const MAX_SILENT_CHECKS = 4;
const SILENCE_CHECK_MS = 225;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 400;

const notSent: PeerFailure = {
  kind: PeerFailureKind.NotSent,
  reason: NotSentReason.Disconnected,
};
const timedOut: PeerFailure = {
  kind: PeerFailureKind.Unknown,
  reason: UnknownReason.TimedOut,
};

/** A link that reconnects whenever its connection is lost. */
export class SimulatedLink implements CallLink {
  private connection: Connection | undefined;
  private lastRefusedAt: Millis | undefined;

  constructor(
    readonly address: string,
    private readonly options: SimulatedLinkOptions,
    private readonly lifecycle: Lifecycle,
  ) {
    const loop = (signal: AbortSignal) => this.keepConnected(signal);
    lifecycle.run('connection', loop, cause => {
      throw cause;
    });
  }

  /** Whether a connection is open. */
  isConnected(): boolean {
    return this.connection !== undefined;
  }

  /** When the current connection was opened. */
  connectedAt(): Millis | undefined {
    return this.connection?.openedAt;
  }

  /** When a message last arrived on the current connection. */
  heardAt(): Millis | undefined {
    return this.connection?.heardAt;
  }

  /** Sends a ping, if a connection is open. */
  ping(): void {
    if (this.connection !== undefined) this.sendPing(this.connection);
  }

  /** When the last attempt to connect began, if the host refused it. */
  refusedAt(): Millis | undefined {
    return this.isConnected() ? undefined : this.lastRefusedAt;
  }

  /** Closes the link and its connection. */
  async close(): Promise<void> {
    await this.lifecycle.close();
  }

  /** Sends a call and returns its answer or why there is none. */
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
        connection.pendingCalls.delete(fail);
        resolve(result);
      };
      const fail = (failure: PeerFailure) => end(Err(failure));
      const cancelTimeout = startTimeoutAfterReads(
        () => fail(timedOut),
        timeoutMs,
      );
      connection.pendingCalls.add(fail);
      this.send(connection, name, cloneJson(input), answer => end(Ok(answer)));
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
    const arrivesAt = network.drawArrival(machine, listener.machine);
    connection.lastRequestAt = Math.max(connection.lastRequestAt, arrivesAt);
    scheduler.deliver(connection.lastRequestAt, listener.process, () => {
      if (!connection.isOpen && !network.drawStaleDelivery()) return;
      void listener.call(name, input).then(answer => {
        this.deliverAnswer(connection, () => settle(cloneJson(answer)));
      });
    });
  }

  /** Schedules the arrival of an answer at this end. */
  private deliverAnswer(connection: Connection, onArrival: () => void): void {
    const {machine, process, scheduler, network} = this.options;
    const backAt = network.drawArrival(connection.listener.machine, machine);
    connection.lastAnswerAt = Math.max(connection.lastAnswerAt, backAt);
    scheduler.deliver(connection.lastAnswerAt, process, () => {
      if (!connection.isOpen) return;
      connection.silentChecks = 0;
      connection.heardAt = readClock();
      onArrival();
    });
  }

  private async keepConnected(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      const connection = await this.connect(signal);
      if (connection === undefined) failures += 1;
      else {
        failures = 0;
        await this.keepOpen(connection, signal);
      }
      const {random} = this.options;
      const retryMs = Math.min(MIN_RETRY_MS * 2 ** failures, MAX_RETRY_MS);
      await sleep(retryMs * random.between(0.5, 1), signal);
    }
  }

  /** Opens a connection; the host refuses it at once when no process listens. */
  private connect(signal: AbortSignal): Promise<Connection | undefined> {
    const {machine, process, scheduler, network, findListener} = this.options;
    const startedAt = readClock();
    return new Promise(resolve => {
      let isSettled = false;
      let accepted: ListenerEnd | undefined;
      const end = (connection: Connection | undefined) => {
        isSettled = true;
        cancelTimeout();
        signal.removeEventListener('abort', endUnconnected);
        resolve(connection);
      };
      const endUnconnected = () => {
        accepted?.close();
        end(undefined);
      };
      const cancelTimeout = startTimeoutAfterReads(endUnconnected, CONNECT_MS);
      signal.addEventListener('abort', endUnconnected, {once: true});
      const host = parseMachineName(this.address);
      const respond = (onArrival: () => void) =>
        scheduler.deliver(network.drawArrival(host, machine), process, () => {
          if (!isSettled) onArrival();
        });
      const cut = network.cuts.find(machine, host);
      if (cut !== undefined) {
        const failAt = scheduler.now + CUT_NOTICE_MS;
        return scheduler.deliver(failAt, process, () => {
          if (isSettled) return;
          this.lastRefusedAt = cut === CutKind.Refuse ? startedAt : undefined;
          end(undefined);
        });
      }
      scheduler.deliver(network.drawArrival(machine, host), undefined, () => {
        const listener = findListener(this.address);
        if (listener === undefined) {
          return respond(() => {
            this.lastRefusedAt = startedAt;
            end(undefined);
          });
        }
        scheduler.deliver(scheduler.now, listener.process, () => {
          const opened = new ListenerEnd(listener, this.options);
          accepted = opened;
          if (isSettled || process.hasExited) opened.close();
          respond(() => {
            this.lastRefusedAt = undefined;
            end(new Connection(opened, readClock()));
          });
        });
      });
    });
  }

  /** Keeps a connection until it is silent, lost or no longer wanted. */
  private async keepOpen(
    connection: Connection,
    signal: AbortSignal,
  ): Promise<void> {
    const {listener} = connection;
    const drop = () => this.deliverAnswer(connection, () => connection.close());
    listener.exitCallbacks.add(drop);
    if (listener.process.hasExited) drop();
    const stopWatching = this.watchCuts(connection);
    this.connection = connection;
    await new Promise<void>(resolve => {
      const timer = setInterval(
        () => this.checkSilence(connection),
        SILENCE_CHECK_MS,
      );
      const close = () => connection.close();
      connection.onClosed = () => {
        clearInterval(timer);
        signal.removeEventListener('abort', close);
        resolve();
      };
      signal.addEventListener('abort', close, {once: true});
      if (signal.aborted) close();
    });
    listener.exitCallbacks.delete(drop);
    stopWatching();
    this.connection = undefined;
  }

  /** Closes the connection when a cut begins; returns how to stop that. */
  private watchCuts(connection: Connection): () => void {
    const {machine, process, scheduler, network} = this.options;
    const close = () => {
      connection.closeAtListener();
      scheduler.deliver(scheduler.now + CUT_NOTICE_MS, process, () =>
        connection.close(),
      );
    };
    const to = connection.listener.machine;
    // It may have been opened across a cut that began meanwhile.
    if (network.cuts.find(machine, to) !== undefined) close();
    return network.cuts.watch(machine, to, close);
  }

  private checkSilence(connection: Connection): void {
    connection.silentChecks += 1;
    if (connection.silentChecks > MAX_SILENT_CHECKS) return connection.close();
    this.sendPing(connection);
  }

  private sendPing(connection: Connection): void {
    const {id, machine, scheduler, network} = this.options;
    const {listener} = connection;
    const arrivesAt = network.drawArrival(machine, listener.machine);
    connection.lastRequestAt = Math.max(connection.lastRequestAt, arrivesAt);
    scheduler.deliver(connection.lastRequestAt, listener.process, () => {
      listener.onPing(id);
      this.deliverAnswer(connection, () => undefined);
    });
  }
}

/** Returns the machine name in a `host:port` address. */
export function parseMachineName(address: string): string {
  const [host = address] = address.split(':');
  return host;
}

function cloneJson(value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}
