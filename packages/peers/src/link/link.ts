/**
 * A link to one peer: one connection, kept up by one loop. A call while the
 * connection is down fails at once, so that no call waits for a peer that may
 * never come back.
 */
import {
  readClock,
  sleep,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {Err, type Result} from 'ts-results-es';
import {WebSocket} from 'ws';
import {
  callMethods,
  noCounts,
  type CallMethods,
  type MessageCounts,
} from '../calls.js';
import {Coalescer} from '../coalesce.js';
import {SilenceGuard} from '../silence.js';
import {SparseLog} from '../sparse_log.js';
import {chooseBackoff} from './backoff.js';
import {ClientCalls, type PeerCalls} from './client_calls.js';
import {PeerConnection} from './connection.js';
import {createNotSent, NotSentReason, type PeerFailure} from './failure.js';
import {defaultPeerLinkLimits, type PeerLinkLimits} from './limits.js';
import {OpenFailure, openSocket, type OpenedSocket} from './open.js';

/** How often a link says that it cannot connect, in ms. */
const FAILURE_LINE_EVERY_MS = 60_000;

/** What a link to one peer needs. */
export interface PeerLinkOptions {
  /** `host:port` of the peer's listener. */
  readonly address: string;
  readonly token: string;
  /** The incarnation of this process. */
  readonly self: string;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  readonly limits?: Partial<PeerLinkLimits>;
  readonly counts?: MessageCounts;
  /** Watches all links of this process together; else each is on its own. */
  readonly silence?: SilenceGuard;
}

/** A connection to one peer that is opened again whenever it is cut. */
export interface CallLink {
  readonly address: string;
  /** Sends one call; its answer is still to be checked. */
  call(
    name: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>>;
  /** Whether there is a connection at present. */
  isConnected(): boolean;
  /** When opening the present connection began; undefined without one. */
  connectedAt(): Millis | undefined;
  /** When something last arrived on the present connection. */
  heardAt(): Millis | undefined;
  /** Asks the peer's process for a sign of life, which `heardAt` shows. */
  ping(): void;
  /** Whether the host last said that no process listens at the address. */
  isRefused(): boolean;
  /** Ends the link; calls in flight end as unknown. */
  close(): Promise<void>;
}

/** A link to one peer with the calls of the peers' protocol. */
export interface PeerLink extends PeerCalls, Omit<CallLink, 'call'> {}

/** Starts a link; it connects on its own and again whenever it is cut. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const link = new Link(options, callMethods);
  link.start();
  return new TypedLink(link);
}

/** Starts a link that speaks the protocol whose calls `methods` names. */
export function createCallLink(
  options: PeerLinkOptions,
  methods: CallMethods,
): CallLink {
  const link = new Link(options, methods);
  link.start();
  return link;
}

class TypedLink extends ClientCalls implements PeerLink {
  constructor(private readonly link: Link) {
    super(() => link.current);
  }

  get address(): string {
    return this.link.address;
  }

  isConnected(): boolean {
    return this.link.isConnected();
  }

  connectedAt(): Millis | undefined {
    return this.link.connectedAt();
  }

  heardAt(): Millis | undefined {
    return this.link.heardAt();
  }

  ping(): void {
    this.link.ping();
  }

  isRefused(): boolean {
    return this.link.isRefused();
  }

  close(): Promise<void> {
    return this.link.close();
  }
}

class Link implements CallLink {
  private readonly limits: PeerLinkLimits;
  private readonly lifecycle: Lifecycle;
  private readonly log: SparseLog;
  /** The open connection, if there is one. */
  current: PeerConnection | undefined;
  private socket: WebSocket | undefined;
  private openedAt: Millis = 0;
  private lastHeardAt: Millis | undefined;
  private openFailure: OpenFailure | undefined;

  constructor(
    private readonly options: PeerLinkOptions,
    private readonly methods: CallMethods,
  ) {
    this.limits = {...defaultPeerLinkLimits, ...options.limits};
    this.lifecycle = options.lifecycle.createChild(`link ${options.address}`);
    this.log = new SparseLog(options.logger, FAILURE_LINE_EVERY_MS);
  }

  get address(): string {
    return this.options.address;
  }

  call(
    name: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>> {
    const {current} = this;
    if (current === undefined) {
      const failure = createNotSent(NotSentReason.Disconnected);
      return Promise.resolve(Err(failure));
    }
    return new Promise(resolve => {
      current.send({call: name, input, timeoutMs}, resolve);
    });
  }

  isConnected(): boolean {
    return this.current?.isOpen === true;
  }

  connectedAt(): Millis | undefined {
    return this.isConnected() ? this.openedAt : undefined;
  }

  heardAt(): Millis | undefined {
    return this.isConnected() ? this.lastHeardAt : undefined;
  }

  ping(): void {
    if (this.isConnected()) this.socket?.ping();
  }

  isRefused(): boolean {
    return !this.isConnected() && this.openFailure === OpenFailure.NotListening;
  }

  async close(): Promise<void> {
    await this.lifecycle.close();
  }

  start(): void {
    this.lifecycle.run(
      'connection',
      signal => this.keepConnected(signal),
      () => {
        this.options.logger.error('link ended by a fault', {
          address: this.address,
        });
      },
    );
  }

  private async keepConnected(signal: AbortSignal): Promise<void> {
    const {address, limits} = this;
    let failures = 0;
    while (!signal.aborted) {
      const triedAt = readClock();
      const opened = await openSocket(this.options, limits, signal);
      if (opened.isOk()) {
        this.openedAt = triedAt;
        this.openFailure = undefined;
        await this.serve(opened.value, signal);
        // One that ends at once counts as a failure, or it would be opened
        // again without end.
        const lastedMs = readClock() - this.openedAt;
        failures = lastedMs >= limits.longestRetryMs ? 0 : failures + 1;
      } else if (!signal.aborted) {
        failures += 1;
        this.openFailure = opened.error;
        const fields = {address, reason: opened.error};
        this.log.warn('no connection', opened.error, fields, readClock());
      }
      const {firstRetryMs, longestRetryMs} = limits;
      const wait = chooseBackoff(
        failures,
        firstRetryMs,
        longestRetryMs,
        Math.random(),
      );
      await sleep(wait, signal);
    }
  }

  /** Sends calls on one connection until it ends. */
  private async serve(
    {socket, stream}: OpenedSocket,
    signal: AbortSignal,
  ): Promise<void> {
    const {counts = noCounts} = this.options;
    if (socket.readyState === WebSocket.CLOSED) return;
    const closed = new Promise(resolve => socket.once('close', resolve));
    this.current = new PeerConnection(
      socket,
      this.limits,
      counts,
      this.methods,
      new Coalescer(stream),
    );
    this.watch(socket);
    const end = () => socket.terminate();
    signal.addEventListener('abort', end, {once: true});
    if (signal.aborted) end();
    await closed;
    signal.removeEventListener('abort', end);
    this.current = undefined;
    this.socket = undefined;
  }

  private watch(socket: WebSocket): void {
    const {silenceMs} = this.limits;
    const {silence = new SilenceGuard({silenceMs, asks: true})} = this.options;
    silence.add(socket);
    this.socket = socket;
    this.lastHeardAt = undefined;
    const note = () => {
      this.lastHeardAt = readClock();
    };
    socket.on('message', note);
    socket.on('pong', note);
  }
}
