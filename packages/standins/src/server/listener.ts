/** An HTTP listener that counts its connections and can refuse new ones. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {HOST, listenAgain, listenOn} from '../ports/index.js';
import type {ConnectionCounts} from './records.js';

const KEEP_ALIVE_MS = 60_000;

/** Serves one request; called for each, without waiting. */
export type Serve = (
  message: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** One listening port. */
export class Listener {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private peak = 0;
  private accepted = 0;
  private overLimit = 0;
  private bound = 0;
  private isWanted = false;

  constructor(
    serve: Serve,
    private readonly connectionLimit: number,
  ) {
    this.server = createServer(
      {keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true},
      (message, response) => void serve(message, response),
    );
    this.server.on('connection', (socket: Socket) => this.accept(socket));
  }

  /** `host:port`, once it listens. */
  get address(): string {
    return `${HOST}:${this.bound}`;
  }

  /** Whether new connections are accepted. */
  get isListening(): boolean {
    return this.server.listening;
  }

  /** Listens on `port`; 0 takes a free one. Rejects when it is taken. */
  async listen(port: number): Promise<void> {
    this.isWanted = true;
    this.bound = await listenOn(this.server, port);
  }

  /** Refuses new connections and closes idle ones until accepted again. */
  refuse(): void {
    this.isWanted = false;
    if (this.server.listening) this.server.close();
  }

  /** Listens again on the same port after `refuse`. */
  async acceptAgain(): Promise<void> {
    this.isWanted = true;
    await listenAgain(this.server, this.bound, () => this.isWanted);
  }

  /** The connections so far. */
  countConnections(): ConnectionCounts {
    return {
      open: this.sockets.size,
      peak: this.peak,
      accepted: this.accepted,
      overLimit: this.overLimit,
    };
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.refuse();
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
