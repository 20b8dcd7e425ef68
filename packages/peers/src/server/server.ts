/** The peers' listener: tRPC over WebSocket on a server of its own. */
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
  noCounts,
  type CallMethods,
  type MessageCounts,
} from '../calls.js';
import type {PeerHandlers} from '../handlers.js';
import {Coalescer} from '../coalesce.js';
import {SilenceGuard} from '../silence.js';
import {SparseLog} from '../sparse_log.js';
import {INCARNATION_HEADER} from '../incarnation_header.js';
import {PeerConnection} from './connection.js';
import {defaultPeerServerLimits, type PeerServerLimits} from './limits.js';
import {createPeerRouter, type PeerContext} from './router.js';
import {createUpgradeServer, refuseUpgrade, sendRefusal} from './upgrade.js';

/** Close code of a server that goes away, from the WebSocket standard. */
const GOING_AWAY = 1001;
/** How often closing looks for calls in flight, in ms. */
const DRAIN_LOOK_MS = 10;

/** Where to listen. */
export interface ListenAddress {
  /** IP number. */
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
}

/** What a listener needs, whichever protocol it speaks. */
export interface CallServerOptions {
  readonly listen: ListenAddress;
  readonly token: string;
  /** A router whose context is a `PeerContext`. */
  readonly router: AnyTRPCRouter;
  readonly methods: CallMethods;
  /** Told of each ping, with how the peer names itself. */
  readonly onPing?: (self: string) => void;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  readonly limits?: Partial<PeerServerLimits>;
  readonly counts?: MessageCounts;
}

/** What the peers' listener needs. */
export interface PeerServerOptions extends Omit<
  CallServerOptions,
  'router' | 'methods'
> {
  readonly handlers: PeerHandlers;
}

/** A running listener; its life cycle closes it. */
export interface PeerServer {
  readonly host: string;
  readonly port: number;
  /** Connections at present. */
  connections(): number;
}

/** The address could not be listened on. */
export interface ListenFailure {
  readonly host: string;
  readonly port: number;
  /** The system's error code, `EADDRINUSE` for example. */
  readonly code: string;
}

/** Starts to listen for peers. */
export function startPeerServer({
  handlers,
  ...options
}: PeerServerOptions): Promise<Result<PeerServer, ListenFailure>> {
  const router = createPeerRouter(handlers);
  return startCallServer({...options, router, methods: callMethods});
}

/** Starts to listen for the calls of any protocol of this project. */
export async function startCallServer(
  options: CallServerOptions,
): Promise<Result<PeerServer, ListenFailure>> {
  const limits = {...defaultPeerServerLimits, ...options.limits};
  const acceptor = new Acceptor(options, limits);
  const server = createUpgradeServer(limits);
  server.on('upgrade', (request, socket, head) => {
    acceptor.takeUpgrade(request, socket, head);
  });
  const failure = await listen(server, options.listen);
  if (failure !== undefined) return Err(failure);
  const {address, port} = server.address() as AddressInfo;
  options.lifecycle.own('peer server', () => closeServer(server, acceptor));
  options.logger.info('listening for peers', {host: address, port});
  return Ok({
    host: address,
    port,
    connections: () => acceptor.sockets.clients.size,
  });
}

/** Makes peers' connections out of upgrades. */
class Acceptor {
  readonly sockets: WebSocketServer;
  private readonly connections = new Set<PeerConnection>();
  private readonly log: SparseLog;
  private readonly silence: SilenceGuard;

  constructor(
    private readonly options: CallServerOptions,
    readonly limits: PeerServerLimits,
  ) {
    this.silence = new SilenceGuard({silenceMs: limits.idleMs, asks: false});
    this.log = new SparseLog(options.logger);
    this.sockets = new WebSocketServer({
      noServer: true,
      maxPayload: limits.maxMessageBytes,
      perMessageDeflate: false,
    });
  }

  /** Calls of all connections that wait for their answers. */
  get callsInFlight(): number {
    let calls = 0;
    for (const connection of this.connections) {
      calls += connection.callsInFlight;
    }
    return calls;
  }

  takeUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    socket.on('error', () => socket.destroy());
    const connections = this.sockets.clients.size;
    const {token} = this.options;
    const refusal = refuseUpgrade(request, token, connections, this.limits);
    if (refusal !== undefined) {
      const remote = request.socket.remoteAddress ?? '';
      const {code} = refusal.failure;
      this.log.warn('peer refused', code, {remote, code}, readClock());
      sendRefusal(socket, refusal);
      return;
    }
    this.sockets.handleUpgrade(request, socket, head, webSocket => {
      this.serve(webSocket, request);
    });
  }

  private serve(socket: WebSocket, request: IncomingMessage): void {
    const {counts = noCounts} = this.options;
    const peer = readIncarnation(request);
    this.options.logger.debug('peer connected', {peer});
    const connection = new PeerConnection(
      socket,
      this.limits,
      counts,
      new Coalescer(request.socket),
      this.options.methods,
    );
    this.connections.add(connection);
    socket.once('close', () => this.connections.delete(connection));
    this.silence.add(socket);
    const self = request.headers[INCARNATION_HEADER];
    const {onPing} = this.options;
    if (onPing !== undefined && typeof self === 'string') {
      socket.on('ping', () => onPing(self));
    }
    const handle = getWSConnectionHandler({
      wss: this.sockets,
      router: this.options.router,
      createContext: (): PeerContext => ({connection}),
      // One encoder for each connection: it counts calls and their sizes.
      experimental_encoder: connection,
      onError: ({path, error}) => {
        const fields = {peer, call: path, code: error.code};
        this.log.warn('call failed', error.code, fields, readClock());
      },
    });
    handle(socket, request);
  }
}

function readIncarnation(request: IncomingMessage): string | undefined {
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

/** Lets calls in flight be answered, for a while, then ends everything. */
async function closeServer(server: Server, acceptor: Acceptor): Promise<void> {
  const closed = new Promise(resolve => server.close(resolve));
  let waitedMs = 0;
  while (acceptor.callsInFlight > 0 && waitedMs < acceptor.limits.drainMs) {
    await sleep(DRAIN_LOOK_MS);
    waitedMs += DRAIN_LOOK_MS;
  }
  for (const socket of acceptor.sockets.clients) socket.close(GOING_AWAY);
  await sleep(DRAIN_LOOK_MS);
  for (const socket of acceptor.sockets.clients) socket.terminate();
  server.closeAllConnections();
  await closed;
}
