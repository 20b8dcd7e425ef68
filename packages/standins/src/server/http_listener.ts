/** HTTP listener that counts its connections and can refuse new ones. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {HOST, resumeListening, listenOn} from '../ports/index.js';
import type {ConnectionCounts} from './records.js';

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Serves one request; requests are served concurrently. */
export type RequestCallback = (
  message: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** HTTP server on one port. */
export class HttpListener {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private peak = 0;
  private accepted = 0;
  private overLimit = 0;
  private boundPort = 0;
  private isAccepting = false;

  constructor(
    serve: RequestCallback,
    private readonly connectionLimit: number,
  ) {
    this.server = createServer(
      {keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true},
      (message, response) => void serve(message, response),
    );
    this.server.on('connection', (socket: Socket) => this.accept(socket));
  }

  /** `host:port`; valid after `listen`. */
  get address(): string {
    return `${HOST}:${this.boundPort}`;
  }

  /** Whether new connections are accepted. */
  get isListening(): boolean {
    return this.server.listening;
  }

  /** Listens on `port`, or on a free one for 0. Rejects if it is in use. */
  async listen(port: number): Promise<void> {
    this.isAccepting = true;
    this.boundPort = await listenOn(this.server, port);
  }

  /** Refuses new connections and closes idle ones, until `resumeAccepting`. */
  stopAccepting(): void {
    this.isAccepting = false;
    if (this.server.listening) this.server.close();
  }

  /** Listens on the same port again after `stopAccepting`. */
  async resumeAccepting(): Promise<void> {
    this.isAccepting = true;
    await resumeListening(this.server, this.boundPort, () => this.isAccepting);
  }

  /** Returns the connection counters. */
  countConnections(): ConnectionCounts {
    return {
      open: this.sockets.size,
      peak: this.peak,
      accepted: this.accepted,
      overLimit: this.overLimit,
    };
  }

  /** Stops listening and destroys all connections. */
  close(): void {
    this.stopAccepting();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    if (this.sockets.size >= this.connectionLimit) {
      this.overLimit += 1;
      socket.destroy();
      return;
    }
    this.accepted += 1;
    this.sockets.add(socket);
    this.peak = Math.max(this.peak, this.sockets.size);
    socket.on('close', () => this.sockets.delete(socket));
  }
}
