/**
 * A caller's connection, between the socket and the HTTP server. It hands over
 * the received bytes in small pieces and stops while enough requests are in
 * progress: the HTTP server parses all requests of a piece at once, and keeps
 * thousands of them from one read of a socket.
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import type {Millis} from '@goldcrestpier/runtime';
import type {BlockPool} from './block_pool.js';
import type {MemoryAccount, MemoryBudget} from './memory_budget.js';
import type {PieceReader, PieceScheduler} from './piece_scheduler.js';
import {ReceivedBytes} from './received_bytes.js';
import {readShared} from './shared_read_buffer.js';

/** Maximum number of requests in progress on a connection. */
const MAX_PIPELINED = 64;
/** Size of a piece; an ordinary request is one piece. */
const PIECE_BYTES = 1_024;
/** Size of a piece while memory is short: three of the shortest requests. */
const SMALL_PIECE_BYTES = 64;
/** Size of a piece of a body while memory is short. */
const SMALL_BODY_PIECE_BYTES = 256;
/** What a connection holds without any data, in bytes. */
const CONNECTION_BYTES = 6 * 1_024;
/** Received headers that are not charged, so that a request can be refused. */
const FREE_HEADER_BYTES = 2_048;

const LATE_HEADERS_RESPONSE =
  'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';

/** Why a connection is closed. */
export enum CloseReason {
  Memory = 'memory',
  Descriptors = 'descriptors',
  SlowBody = 'slow_body',
  UnreadResponse = 'unread_response',
  /** The headers of a request did not end in time. */
  LateHeaders = 'late_headers',
}

/** What a connection reports. */
export interface ConnectionEvents {
  readonly onPause: () => void;
  readonly onMemoryShort: (connection: ClientConnection) => void;
}

/** A connection that limits what its client makes the instance hold. */
export class ClientConnection extends Duplex implements PieceReader {
  /** The request that was read last. */
  private lastRequest: IncomingMessage | undefined;
  private requestsInProgress = 0;
  private isBlocked = false;
  private wantsData = false;
  private isReading = false;
  private headerBytes = 0;
  private readonly received: ReceivedBytes;
  /** Whether the client has sent all that it will send. */
  private hasEnded = false;
  /** Since when headers are awaited and may be read. */
  private headersSince: Millis;
  /** Time by which the last body has to end. */
  private bodyDueAt: Millis = Infinity;
  /** Since when the client has taken no bytes; Infinity if none wait. */
  private unsentSince: Millis = Infinity;
  private isCutOff = false;
  private readonly account: MemoryAccount;
  private readonly socket: Socket;

  constructor(
    accepted: Socket,
    private readonly budget: MemoryBudget,
    private readonly scheduler: PieceScheduler,
    pool: BlockPool,
    private readonly readClock: () => Millis,
    private readonly events: ConnectionEvents,
  ) {
    // Each piece is parsed before the next one is read.
    super({readableHighWaterMark: 1});
    this.received = new ReceivedBytes(pool);
    this.account = budget.openAccount(() => events.onMemoryShort(this));
    // What isn't read would be held by the kernel, in nobody's account.
    this.socket = readShared(accepted, bytes => this.receive(bytes));
    this.headersSince = readClock();
    this.socket.resume();
    this.socket.once('end', () => this.receiveEnd());
    this.socket.once('error', cause => this.destroy(cause));
    this.socket.once('close', () => this.handleClose());
    this.socket.on('timeout', () => this.emit('timeout'));
  }

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
    this.socket.destroy();
  }

  /** Reserves the memory of the connection; false if there is none. */
  tryOpen(): boolean {
    return this.account.trySet(CONNECTION_BYTES);
  }

  /** Records a request that has been read; `endRequest` has to report its end. */
  beginRequest(request: IncomingMessage): void {
    this.lastRequest = request;
    this.requestsInProgress += 1;
    this.headerBytes = 0;
  }

  /** Records that a response was sent, and reads on. */
  endRequest(): void {
    this.requestsInProgress -= 1;
    this.readOn();
  }

  /**
   * Whether headers are late. The HTTP server's own limit would count the time
   * in which nothing is read from the connection.
   */
  areHeadersLate(now: Millis, timeoutMs: Millis): boolean {
    const areAwaited = this.lastRequest === undefined || this.headerBytes > 0;
    return (
      areAwaited && !this.isBlocked && now - this.headersSince >= timeoutMs
    );
  }

  /** Answers late headers; the connection is closed afterwards. */
  refuseHeaders(): void {
    if (this.requestsInProgress === 0) this.write(LATE_HEADERS_RESPONSE);
  }

  /** Sets the time by which the body of the last request has to end. */
  limitBody(dueAt: Millis): void {
    this.bodyDueAt = dueAt;
  }

  /** Whether no request has been read, even in part. */
  get isIdle(): boolean {
    return this.requestsInProgress === 0 && this.headerBytes === 0;
  }

  /** Whether a request has been read in part. */
  get isReceiving(): boolean {
    return this.headerBytes > 0 || this.isReadingBody;
  }

  /** Whether the body of the last request has not ended. */
  get isReadingBody(): boolean {
    return this.lastRequest?.complete === false;
  }

  /** Whether a body is late. */
  isBodyLate(now: Millis): boolean {
    return this.isReadingBody && now >= this.bodyDueAt;
  }

  /** How long the client has read nothing of what was sent to it. */
  findUnreadMs(now: Millis): Millis {
    return Math.max(0, now - this.unsentSince);
  }

  /** Reads on if it stopped for lack of memory. */
  retry(): void {
    if (this.isBlocked) this.readOn();
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
    this.send(() => this.socket.write(chunk, encoding, this.finishSend(done)));
  }

  /** Sends several chunks together. */
  override _writev(
    chunks: readonly {chunk: Buffer; encoding: BufferEncoding}[],
    done: (error?: Error | null) => void,
  ): void {
    this.send(() => {
      this.socket.cork();
      chunks.forEach(({chunk, encoding}, index) => {
        const isLast = index === chunks.length - 1;
        if (isLast) this.socket.write(chunk, encoding, this.finishSend(done));
        else this.socket.write(chunk, encoding);
      });
      this.socket.uncork();
    });
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
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  /** Closes idle connections; the HTTP server calls it. */
  setTimeout(ms: Millis): this {
    this.socket.setTimeout(ms);
    return this;
  }

  private send(write: () => void): void {
    this.unsentSince = this.readClock();
    write();
  }

  private finishSend(
    done: (error?: Error | null) => void,
  ): (error?: Error | null) => void {
    return error => {
      this.unsentSince = Infinity;
      done(error);
    };
  }

  /** Takes over what the socket has read, unless there is no memory for it. */
  private receive(bytes: Buffer): void {
    if (this.isClosed) return;
    if (!this.charge(this.received.findGrowth(bytes.length))) return;
    const isFirst = this.isIdle && this.received.isEmpty;
    this.received.append(bytes);
    this.readOn(isFirst);
  }

  private handleClose(): void {
    if (this.isCutOff) this.scheduler.add(this);
    else this.destroy();
  }

  private receiveEnd(): void {
    this.hasEnded = true;
    this.passEnd();
  }

  /** Passes the end on once all that came before it was handed over. */
  private passEnd(): void {
    if (this.hasEnded && this.received.isEmpty) this.push(null);
  }

  /** Hands over the first piece of a request at once, and all others in turn. */
  private readOn(isFirst = false): void {
    const hasMore = isFirst ? this.readPiece() : this.mayHaveMore;
    if (hasMore) this.scheduler.add(this);
    this.charge();
  }

  private get mayHaveMore(): boolean {
    return !this.isClosed && !this.received.isEmpty;
  }

  /** Hands over one piece unless a limit is reached; whether there is another. */
  readPiece(): boolean {
    if (this.isCutOff) this.destroy();
    if (this.isReading || !this.wantsData || !this.mayHaveMore) return false;
    if (!this.canRead()) return false;
    const piece = this.received.take(this.choosePieceBytes());
    if (piece === undefined) return false;
    if (!this.isReadingBody) this.countHeaders(piece);
    // Handing over a piece may end a request, which reads on.
    this.isReading = true;
    this.wantsData = this.push(piece);
    this.isReading = false;
    if (this.mayHaveMore) return true;
    this.passEnd();
    this.charge();
    return false;
  }

  private countHeaders(piece: Buffer): void {
    if (this.headerBytes === 0) this.headersSince = this.readClock();
    this.headerBytes += piece.length;
  }

  private choosePieceBytes(): number {
    if (this.requestsInProgress > 1) return SMALL_PIECE_BYTES;
    if (!this.budget.isUnderPressure) return PIECE_BYTES;
    return this.isReadingBody ? SMALL_BODY_PIECE_BYTES : SMALL_PIECE_BYTES;
  }

  /** Whether another piece may be read; a client may always send one request. */
  private canRead(): boolean {
    const limit = this.budget.isUnderPressure ? 1 : MAX_PIPELINED;
    // The body of a single request is charged by its reader.
    const isOwnBody = this.requestsInProgress === 1 && this.isReadingBody;
    const canRead = this.requestsInProgress < limit || isOwnBody;
    if (!canRead && !this.isBlocked && !this.received.isEmpty)
      this.events.onPause();
    if (this.isBlocked && canRead) this.headersSince = this.readClock();
    this.isBlocked = !canRead;
    return canRead;
  }

  /** Charges what is held and what is added; closes the connection if it can't. */
  private charge(addedBytes = 0): boolean {
    if (this.isClosed) return false;
    const headers = Math.max(0, this.headerBytes - FREE_HEADER_BYTES);
    const heldBytes = CONNECTION_BYTES + this.received.heldBytes + headers;
    if (this.account.trySet(heldBytes + addedBytes)) return true;
    this.events.onMemoryShort(this);
    return false;
  }
}
