/** The peer listener: tRPC over WebSocket on a separate HTTP server. */
import type {IncomingMessage, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {parseIncarnation} from '@goldcrestpier/protocol';
import {
  readClock,
  sleep,
  type Lifecycle,
  type Logger,
} from '@goldcrestpier/runtime';
import type {AnyTRPCRouter} from '@trpc/server';
import {getWSConnectionHandler} from '@trpc/server/adapters/ws';
import {Err, Ok, type Result} from 'ts-results-es';
import {WebSocketServer, type WebSocket} from 'ws';
import {
  callMethods,
  noopMessageCounter,
  type CallMethods,
  type MessageCounter,
} from '../calls.js';
import type {PeerHandlers} from '../handlers.js';
import {WriteCoalescer} from '../write_coalescer.js';
import {LivenessMonitor} from '../liveness_monitor.js';
import {RateLimitedLogger} from '../rate_limited_logger.js';
import {INCARNATION_HEADER} from '../incarnation_header.js';
import {ServerConnection} from './connection.js';
import {defaultPeerServerLimits, type PeerServerLimits} from './limits.js';
import {createPeerRouter, type PeerContext} from './router.js';
import {
  createUpgradeServer,
  findUpgradeRefusal,
  sendRefusal,
} from './upgrade.js';

/** WebSocket close code of an endpoint that goes away (RFC 6455). */
const GOING_AWAY = 1001;
/** Poll interval while closing waits for calls in flight, in ms. */
const DRAIN_POLL_MS = 10;

/** Address on which to listen. */
export interface ListenAddress {
  /** IP address. */
  readonly host: string;
  /** Port number; 0 selects any free port. */
  readonly port: number;
}

/** Options of a listener for any protocol. */
export interface CallServerOptions {
  readonly listen: ListenAddress;
  readonly token: string;
  /** A router whose context is a `PeerContext`. */
  readonly router: AnyTRPCRouter;
  readonly methods: CallMethods;
  /** Called on each ping with the incarnation header that the peer sent. */
  readonly onPing?: (incarnation: string) => void;
  /** Called with that header when a peer has opened a connection. */
  readonly onOpened?: (incarnation: string) => void;
  /** Called with that header when such a connection has closed. */
  readonly onClosed?: (incarnation: string) => void;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  readonly limits?: Partial<PeerServerLimits>;
  readonly messageCounter?: MessageCounter;
}

/** Options of a listener for the peer protocol. */
export interface PeerServerOptions extends Omit<
  CallServerOptions,
  'router' | 'methods'
> {
  readonly handlers: PeerHandlers;
}

/** A running listener. It is closed with the lifecycle given at its start. */
export interface PeerServer {
  readonly host: string;
  readonly port: number;
  /** Number of open connections. */
  connections(): number;
}

/** Why listening on an address failed. */
export interface ListenFailure {
  readonly host: string;
  readonly port: number;
  /** System error code, such as `EADDRINUSE`. */
  readonly code: string;
}

/** Starts a listener for the peer protocol. */
export function startPeerServer({
  handlers,
  ...options
}: PeerServerOptions): Promise<Result<PeerServer, ListenFailure>> {
  const router = createPeerRouter(handlers);
  return startCallServer({...options, router, methods: callMethods});
}

/** Starts a listener for the protocol of the given router. */
export async function startCallServer(
  options: CallServerOptions,
): Promise<Result<PeerServer, ListenFailure>> {
  const limits = {...defaultPeerServerLimits, ...options.limits};
  const acceptor = new UpgradeAcceptor(options, limits);
  const server = createUpgradeServer(limits);
  server.on('upgrade', (request, socket, head) => {
    acceptor.acceptUpgrade(request, socket, head);
  });
  const failure = await listen(server, options.listen);
  if (failure !== undefined) return Err(failure);
  const {address, port} = server.address() as AddressInfo;
  options.lifecycle.own('peer server', () => closeServer(server, acceptor));
  options.logger.info('listening for peers', {host: address, port});
  return Ok({
    host: address,
    port,
    connections: () => acceptor.wsServer.clients.size,
  });
}

/** Accepts upgrade requests and serves calls on the resulting connections. */
class UpgradeAcceptor {
  readonly wsServer: WebSocketServer;
  private readonly connections = new Set<ServerConnection>();
  private readonly log: RateLimitedLogger;
  private readonly livenessMonitor: LivenessMonitor;

  constructor(
    private readonly options: CallServerOptions,
    readonly limits: PeerServerLimits,
  ) {
    this.livenessMonitor = new LivenessMonitor({
      silenceTimeoutMs: limits.silenceTimeoutMs,
      canPing: false,
    });
    this.log = new RateLimitedLogger(options.logger);
    this.wsServer = new WebSocketServer({
      noServer: true,
      maxPayload: limits.maxMessageBytes,
      perMessageDeflate: false,
    });
  }

  /** Number of unanswered calls on all connections. */
  get callsInFlight(): number {
    let calls = 0;
    for (const connection of this.connections) {
      calls += connection.callsInFlight;
    }
    return calls;
  }

  acceptUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    socket.on('error', () => socket.destroy());
    const connections = this.wsServer.clients.size;
    const {token} = this.options;
    const refusal = findUpgradeRefusal(
      request,
      token,
      connections,
      this.limits,
    );
    if (refusal !== undefined) {
      const remote = request.socket.remoteAddress ?? '';
      const {code} = refusal.failure;
      this.log.warn(
        'refused connection from peer',
        code,
        {remote, code},
        readClock(),
      );
      sendRefusal(socket, refusal);
      return;
    }
    this.wsServer.handleUpgrade(request, socket, head, webSocket => {
      this.serveConnection(webSocket, request);
    });
  }

  private serveConnection(socket: WebSocket, request: IncomingMessage): void {
    const {messageCounter = noopMessageCounter} = this.options;
    const peer = parsePeerHeader(request);
    this.options.logger.debug('peer connected', {peer});
    const connection = new ServerConnection(
      socket,
      this.limits,
      messageCounter,
      new WriteCoalescer(request.socket),
      this.options.methods,
    );
    this.connections.add(connection);
    socket.once('close', () => this.connections.delete(connection));
    this.livenessMonitor.add(socket);
    this.reportEvents(socket, request);
    const handle = getWSConnectionHandler({
      wss: this.wsServer,
      router: this.options.router,
      createContext: (): PeerContext => ({connection}),
      // One encoder per connection, as it counts calls and message sizes.
      experimental_encoder: connection,
      onError: ({path, error}) => {
        const fields = {peer, call: path, code: error.code};
        this.log.warn('call failed', error.code, fields, readClock());
      },
    });
    handle(socket, request);
  }

  /** Calls the callbacks for a connection whose peer sent its incarnation. */
  private reportEvents(socket: WebSocket, request: IncomingMessage): void {
    const {onPing, onOpened, onClosed} = this.options;
    const incarnation = request.headers[INCARNATION_HEADER];
    if (typeof incarnation !== 'string') return;
    if (onPing !== undefined) socket.on('ping', () => onPing(incarnation));
    onOpened?.(incarnation);
    socket.once('close', () => onClosed?.(incarnation));
  }
}

function parsePeerHeader(request: IncomingMessage): string | undefined {
  const header = request.headers[INCARNATION_HEADER];
  if (typeof header !== 'string') return undefined;
  return parseIncarnation(header) === undefined ? undefined : header;
}

function listen(
  server: Server,
  {host, port}: ListenAddress,
): Promise<ListenFailure | undefined> {
  return new Promise(resolve => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      resolve({host, port, code: error.code ?? error.name});
    });
    server.listen({host, port}, () => {
      server.removeAllListeners('error');
      server.on('error', () => undefined);
      resolve(undefined);
    });
  });
}

/** Waits up to `drainMs` for calls in flight, then closes all connections. */
async function closeServer(
  server: Server,
  acceptor: UpgradeAcceptor,
): Promise<void> {
  const closed = new Promise(resolve => server.close(resolve));
  let waitedMs = 0;
  while (acceptor.callsInFlight > 0 && waitedMs < acceptor.limits.drainMs) {
    await sleep(DRAIN_POLL_MS);
    waitedMs += DRAIN_POLL_MS;
  }
  for (const socket of acceptor.wsServer.clients) socket.close(GOING_AWAY);
  await sleep(DRAIN_POLL_MS);
  for (const socket of acceptor.wsServer.clients) socket.terminate();
  server.closeAllConnections();
  await closed;
}
