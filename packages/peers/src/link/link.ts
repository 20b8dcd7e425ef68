/**
 * A link to one peer: a single connection, reopened by a loop. A call made
 * while the connection is down fails at once, so that no call waits for a peer
 * that may never come back.
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
  noopMessageCounter,
  type CallMethods,
  type MessageCounter,
} from '../calls.js';
import {WriteCoalescer} from '../write_coalescer.js';
import {LivenessMonitor} from '../liveness_monitor.js';
import {RateLimitedLogger} from '../rate_limited_logger.js';
import {calculateBackoff} from './backoff.js';
import {ClientCalls, type PeerCalls} from './client_calls.js';
import {ClientConnection} from './connection.js';
import {createNotSent, NotSentReason, type PeerFailure} from './failure.js';
import {defaultPeerLinkLimits, type PeerLinkLimits} from './limits.js';
import {OpenFailure, openSocket, type OpenedSocket} from './open.js';

/** Minimum interval between log lines about failed connection attempts, in ms. */
const FAILURE_LOG_INTERVAL_MS = 60_000;

/** Options of a link to one peer. */
export interface PeerLinkOptions {
  /** `host:port` of the peer's listener. */
  readonly address: string;
  readonly token: string;
  /** Incarnation of this process, sent to the peer as a header. */
  readonly self: string;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  readonly limits?: Partial<PeerLinkLimits>;
  readonly messageCounter?: MessageCounter;
  /** Shared by the links of a process; without it, each link has its own. */
  readonly livenessMonitor?: LivenessMonitor;
}

/** A connection to one peer that is reopened whenever it is lost. */
export interface CallLink {
  readonly address: string;
  /** Sends one call. The caller has to validate the answer. */
  call(
    name: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>>;
  /** Whether the link has an open connection. */
  isConnected(): boolean;
  /** When opening the current connection began; undefined without one. */
  connectedAt(): Millis | undefined;
  /** When a message or pong last arrived on the current connection. */
  heardAt(): Millis | undefined;
  /** Sends a WebSocket ping; the peer's pong updates `heardAt`. */
  ping(): void;
  /**
   * When the last attempt to connect began, if it failed because nothing
   * listens at the address; undefined otherwise.
   */
  refusedAt(): Millis | undefined;
  /** Closes the link; the outcome of calls in flight becomes unknown. */
  close(): Promise<void>;
}

/** A link to one peer with the typed calls of the peer protocol. */
export interface PeerLink extends PeerCalls, Omit<CallLink, 'call'> {}

/** Starts a link, which connects and reconnects on its own. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const link = new Link(options, callMethods);
  link.start();
  return new TypedLink(link);
}

/** Starts a link for the protocol whose calls are listed in `methods`. */
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
    super(() => link.connection);
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

  refusedAt(): Millis | undefined {
    return this.link.refusedAt();
  }

  close(): Promise<void> {
    return this.link.close();
  }
}

class Link implements CallLink {
  private readonly limits: PeerLinkLimits;
  private readonly lifecycle: Lifecycle;
  private readonly log: RateLimitedLogger;
  /** The open connection, if there is one. */
  connection: ClientConnection | undefined;
  private socket: WebSocket | undefined;
  private connectStartedAt: Millis = 0;
  private lastHeardAt: Millis | undefined;
  private lastRefusedAt: Millis | undefined;

  constructor(
    private readonly options: PeerLinkOptions,
    private readonly methods: CallMethods,
  ) {
    this.limits = {...defaultPeerLinkLimits, ...options.limits};
    this.lifecycle = options.lifecycle.createChild(`link ${options.address}`);
    this.log = new RateLimitedLogger(options.logger, FAILURE_LOG_INTERVAL_MS);
  }

  get address(): string {
    return this.options.address;
  }

  call(
    name: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>> {
    const {connection} = this;
    if (connection === undefined) {
      const failure = createNotSent(NotSentReason.Disconnected);
      return Promise.resolve(Err(failure));
    }
    return new Promise(resolve => {
      connection.send({call: name, input, timeoutMs}, resolve);
    });
  }

  isConnected(): boolean {
    return this.connection?.isOpen === true;
  }

  connectedAt(): Millis | undefined {
    return this.isConnected() ? this.connectStartedAt : undefined;
  }

  heardAt(): Millis | undefined {
    return this.isConnected() ? this.lastHeardAt : undefined;
  }

  ping(): void {
    if (this.isConnected()) this.socket?.ping();
  }

  refusedAt(): Millis | undefined {
    return this.isConnected() ? undefined : this.lastRefusedAt;
  }

  async close(): Promise<void> {
    await this.lifecycle.close();
  }

  start(): void {
    this.lifecycle.run(
      'connection',
      signal => this.keepConnected(signal),
      () => {
        this.options.logger.error(
          'peer link loop failed; the link will not reconnect',
          {
            address: this.address,
          },
        );
      },
    );
  }

  private async keepConnected(signal: AbortSignal): Promise<void> {
    const {address, limits} = this;
    let failures = 0;
    while (!signal.aborted) {
      const startedAt = readClock();
      const opened = await openSocket(this.options, limits, signal);
      if (opened.isOk()) {
        this.connectStartedAt = startedAt;
        this.lastRefusedAt = undefined;
        await this.runConnection(opened.value, signal);
        // A connection that ends early counts as a failure; otherwise it
        // would be reopened in a tight loop.
        const uptimeMs = readClock() - this.connectStartedAt;
        failures = uptimeMs >= limits.longestRetryMs ? 0 : failures + 1;
      } else if (!signal.aborted) {
        failures += 1;
        const isRefused = opened.error === OpenFailure.NotListening;
        this.lastRefusedAt = isRefused ? startedAt : undefined;
        const fields = {address, reason: opened.error};
        this.log.warn(
          'failed to connect to peer; retrying',
          opened.error,
          fields,
          readClock(),
        );
      }
      const {firstRetryMs, longestRetryMs} = limits;
      const backoffMs = calculateBackoff(
        failures,
        firstRetryMs,
        longestRetryMs,
        Math.random(),
      );
      await sleep(backoffMs, signal);
    }
  }

  /** Makes one connection available for calls until it closes. */
  private async runConnection(
    {socket, stream}: OpenedSocket,
    signal: AbortSignal,
  ): Promise<void> {
    const {messageCounter = noopMessageCounter} = this.options;
    if (socket.readyState === WebSocket.CLOSED) return;
    const closed = new Promise(resolve => socket.once('close', resolve));
    this.connection = new ClientConnection(
      socket,
      this.limits,
      messageCounter,
      this.methods,
      new WriteCoalescer(stream),
    );
    this.monitorLiveness(socket);
    const terminateSocket = () => socket.terminate();
    signal.addEventListener('abort', terminateSocket, {once: true});
    if (signal.aborted) terminateSocket();
    await closed;
    signal.removeEventListener('abort', terminateSocket);
    this.connection = undefined;
    this.socket = undefined;
  }

  private monitorLiveness(socket: WebSocket): void {
    const {silenceMs} = this.limits;
    const {
      livenessMonitor = new LivenessMonitor({
        silenceTimeoutMs: silenceMs,
        canPing: true,
      }),
    } = this.options;
    livenessMonitor.add(socket);
    this.socket = socket;
    this.lastHeardAt = undefined;
    const recordReceipt = () => {
      this.lastHeardAt = readClock();
    };
    socket.on('message', recordReceipt);
    socket.on('pong', recordReceipt);
  }
}
