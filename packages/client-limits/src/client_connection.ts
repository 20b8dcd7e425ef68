/**
 * A caller's connection, between the socket and the HTTP server. It hands over
 * the received bytes in small pieces and stops while enough requests are in
 * progress: the HTTP server parses all requests of a piece at once, and keeps
 * thousands of them from one read of a socket.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import type {Millis} from '@goldcrestpier/runtime';
import {SocketPause} from './socket_pause.js';
import type {ConnectionEvents, SharedResources} from './connection_context.js';
import type {MemoryAccount, MemoryBudget} from './memory_budget.js';
import {choosePieceBytes} from './piece_size.js';
import type {PieceReader, PieceScheduler} from './piece_scheduler.js';
import {RequestProgress} from './request_progress.js';
import {ReceivedBytes} from './received_bytes.js';
import {readShared} from './shared_read_buffer.js';
import {SocketWriter, type OutgoingChunk} from './socket_writer.js';

/** Maximum number of requests in progress on a connection. */
const MAX_PIPELINED = 64;
/** How long the rest of a request is discarded before its connection closes, in ms. */
const LINGER_MS = 1_000;
/** Received bytes that wait for their turn from which the socket is paused. */
const READ_AHEAD_BYTES = 64 * 1_024;
/** What a connection holds without any data, in bytes. */
const CONNECTION_BYTES = 6 * 1_024;

const LATE_HEADERS_RESPONSE =
  'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';

/** A connection that limits what its client makes the instance hold. */
export class ClientConnection extends Duplex implements PieceReader {
  /** How far its requests have come. */
  readonly requests: RequestProgress;
  private isBlocked = false;
  private wantsData = false;
  private isReading = false;
  private readonly received: ReceivedBytes;
  /** Whether the client has sent all that it will send. */
  private hasEnded = false;
  private isCutOff = false;
  /** Whether the connection closes with the response to the last request. */
  private isLastRequest = false;
  /** Whether all responses were sent that the connection will send. */
  private isClosing = false;
  /** Until when the rest of a request is discarded. */
  private lingerUntil: Millis = Infinity;
  private readonly account: MemoryAccount;
  private readonly socket: Socket;
  private readonly socketPause: SocketPause;
  private readonly writer: SocketWriter;

  constructor(
    accepted: Socket,
    private readonly budget: MemoryBudget,
    private readonly scheduler: PieceScheduler,
    {pool, pauses}: SharedResources,
    private readonly readClock: () => Millis,
    private readonly events: ConnectionEvents,
  ) {
    // Each piece is parsed before the next one is read.
    super({readableHighWaterMark: 1});
    this.received = new ReceivedBytes(pool);
    this.account = budget.openAccount(() => events.onMemoryShort(this));
    // What isn't read would be held by the kernel, in nobody's account.
    this.socket = readShared(accepted, bytes => this.receive(bytes));
    this.socketPause = new SocketPause(this.socket, pauses);
    this.writer = new SocketWriter(this.socket, readClock);
    this.requests = new RequestProgress(readClock());
    this.socket.resume();
    this.socket.once('end', () => this.receiveEnd());
    this.socket.once('error', cause => this.destroy(cause));
    this.socket.once('close', () => this.handleClose());
    this.socket.on('timeout', () => this.emit('timeout'));
  }

  /** The address of the client or its balancer; undefined once closed. */
  get remoteAddress(): string | undefined {
    return this.socket.remoteAddress;
  }

  /** Whether nothing is read or sent any more. */
  get isClosed(): boolean {
    return this.destroyed || this.socket.destroyed;
  }

  /**
   * Closes the socket and returns the memory at once, also what the kernel holds.
   * The HTTP server is told in one of the next turns: that takes far longer, and
   * what other clients send waits meanwhile.
   */
  cutOff(): void {
    this.isCutOff = true;
    this.account.close();
    this.received.clear();
    this.socketPause.end();
    this.socket.destroy();
  }

  /** Reserves the memory of the connection; false if there is none. */
  tryOpen(): boolean {
    return this.account.trySet(CONNECTION_BYTES);
  }

  /** Records a request that has been read; `endRequest` has to report its end. */
  beginRequest(request: IncomingMessage, response: ServerResponse): void {
    this.requests.begin(request);
    this.isLastRequest = !response.shouldKeepAlive;
  }

  /** Records that a response was sent, and reads on. */
  endRequest(): void {
    this.requests.end();
    this.readOn();
  }

  /**
   * Whether headers are late. The HTTP server's own limit would count the time
   * in which nothing is read from the connection.
   */
  areHeadersLate(now: Millis, timeoutMs: Millis): boolean {
    return !this.isBlocked && this.requests.areHeadersLate(now, timeoutMs);
  }

  /** Answers late headers; the connection is closed afterwards. */
  refuseHeaders(): void {
    if (this.requests.inProgress === 0) this.write(LATE_HEADERS_RESPONSE);
  }

  /** How long the client has read nothing of what was sent to it. */
  findUnreadMs(now: Millis): Millis {
    return this.writer.findUnreadMs(now);
  }

  /** Reads on if it stopped for lack of memory, and ends a late lingering close. */
  retry(now: Millis): void {
    if (now >= this.lingerUntil) this.destroy();
    else if (this.isBlocked) this.readOn();
  }

  /** Hands over the next piece. */
  override _read(): void {
    this.wantsData = true;
    // What is read here would not be parsed before the next piece is read.
    if (this.mayHaveMore) this.scheduler.add(this);
  }

  /** Sends bytes; done when the socket has taken them. */
  override _write(
    chunk: Buffer,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.writer.send([{chunk, encoding}], done);
  }

  /** Sends several chunks together. */
  override _writev(
    chunks: readonly OutgoingChunk[],
    done: (error?: Error | null) => void,
  ): void {
    this.writer.send(chunks, done);
  }

  /** Ends the sending side. */
  override _final(done: () => void): void {
    this.socket.end(done);
  }

  /** Closes the socket and returns the memory. */
  override _destroy(cause: Error | null, done: (cause: null) => void): void {
    this.cutOff();
    this.scheduler.remove(this);
    // The HTTP server closes the connection either way.
    void cause;
    done(null);
  }

  /** Closes the connection when all has been sent; the HTTP server calls it. */
  destroySoon(): void {
    this.isClosing = true;
    if (this.writable) this.end();
    if (this.writableFinished) this.linger();
    else this.once('finish', () => this.linger());
  }

  /** Closes idle connections; the HTTP server calls it. */
  setTimeout(ms: Millis): this {
    this.socket.setTimeout(ms);
    return this;
  }

  /**
   * Discards for a while what the client still sends of its request: to close at
   * once would reset the connection, and the client might not read its response.
   */
  private linger(): void {
    if (this.hasEnded || !this.requests.isReadingBody) this.destroy();
    else this.lingerUntil = this.readClock() + LINGER_MS;
  }

  /** Takes over what the socket has read, unless there is no memory for it. */
  private receive(bytes: Buffer): void {
    if (this.isClosed || this.discardsInput) return;
    if (!this.charge(this.received.findGrowth(bytes.length))) return;
    const isFirst = this.requests.isIdle && this.received.isEmpty;
    this.received.append(bytes);
    this.readOn(isFirst);
    const isFarAhead = this.received.heldBytes >= READ_AHEAD_BYTES;
    if (isFarAhead && !this.isBlocked) this.socketPause.tryStart();
  }

  private handleClose(): void {
    if (this.isCutOff) this.scheduler.add(this);
    else this.destroy();
  }

  private receiveEnd(): void {
    this.hasEnded = true;
    if (this.lingerUntil < Infinity) this.destroy();
    else this.passEnd();
  }

  /** Whether nothing that the client still sends will be answered. */
  private get discardsInput(): boolean {
    if (this.isClosing) return true;
    return this.isLastRequest && !this.requests.isReadingBody;
  }

  /** Passes the end on once all that came before it was handed over. */
  private passEnd(): void {
    if (this.hasEnded && this.received.isEmpty) this.push(null);
  }

  /** Hands over the first piece of a request at once, and all others in turn. */
  private readOn(isFirst = false): void {
    if (isFirst) this.scheduler.addFirst(this);
    else if (this.mayHaveMore) this.scheduler.add(this);
    this.charge();
  }

  private get mayHaveMore(): boolean {
    return !this.isClosed && !this.received.isEmpty;
  }

  /** Hands over one piece unless a limit is reached; whether there is another. */
  readPiece(): boolean {
    if (this.isCutOff) this.destroy();
    if (this.discardsInput) this.received.clear();
    if (this.isReading || !this.wantsData || !this.mayHaveMore) return false;
    if (!this.canRead()) return false;
    const {isUnderPressure} = this.budget;
    const size = choosePieceBytes(this.requests, isUnderPressure);
    const piece = this.received.take(size);
    if (piece === undefined) return false;
    // Handing over a piece may end a request, which reads on.
    this.isReading = true;
    this.requests.countParsed(piece.length, this.readClock(), () => {
      this.wantsData = this.push(piece);
    });
    this.isReading = false;
    if (this.received.heldBytes < READ_AHEAD_BYTES) this.socketPause.end();
    if (this.mayHaveMore) return true;
    this.passEnd();
    this.charge();
    return false;
  }

  /** Whether another piece may be read; a client may always send one request. */
  private canRead(): boolean {
    const limit = this.budget.isUnderPressure ? 1 : MAX_PIPELINED;
    // The body of a single request is charged by its reader.
    const {inProgress, isReadingBody} = this.requests;
    const isOwnBody = inProgress === 1 && isReadingBody;
    const canRead = inProgress < limit || isOwnBody;
    if (!canRead && !this.isBlocked && !this.received.isEmpty)
      this.events.onPause();
    if (this.isBlocked && canRead)
      this.requests.restartHeaders(this.readClock());
    this.isBlocked = !canRead;
    // It may stay blocked for long.
    if (this.isBlocked) this.socketPause.end();
    return canRead;
  }

  /** Charges what is held and what is added; closes the connection if it can't. */
  private charge(addedBytes = 0): boolean {
    if (this.isClosed) return false;
    const {fieldCost} = this.requests;
    const heldBytes = CONNECTION_BYTES + this.received.heldBytes + fieldCost;
    if (this.account.trySet(heldBytes + addedBytes)) return true;
    this.events.onMemoryShort(this);
    return false;
  }
}
