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
import type {MemoryAccount, MemoryBudget} from './memory_budget.js';
import type {PieceReader, PieceScheduler} from './piece_scheduler.js';

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
  /** Bytes that the socket had received when the connection was read last. */
  private bytesSeen = 0;
  /** Since when headers are awaited and may be read. */
  private headersSince: Millis;
  /** Time by which the last body has to end. */
  private bodyDueAt: Millis = Infinity;
  /** Since when the client has taken no bytes; Infinity if none wait. */
  private unsentSince: Millis = Infinity;
  private readonly account: MemoryAccount;

  constructor(
    readonly socket: Socket,
    private readonly budget: MemoryBudget,
    private readonly scheduler: PieceScheduler,
    private readonly readClock: () => Millis,
    private readonly events: ConnectionEvents,
  ) {
    // Each piece is parsed before the next one is read.
    super({readableHighWaterMark: 1});
    this.account = budget.openAccount();
    this.headersSince = readClock();
    socket.on('readable', () => this.readOn());
    socket.once('end', () => this.push(null));
    socket.once('error', cause => this.destroy(cause));
    socket.once('close', () => this.destroy());
    socket.on('timeout', () => this.emit('timeout'));
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
    this.account.close();
    this.scheduler.remove(this);
    this.socket.destroy();
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

  /** Reads the first piece of what has arrived at once, and all others in turn. */
  private readOn(): void {
    const {bytesRead} = this.socket;
    const isFirst = this.isIdle && bytesRead > this.bytesSeen;
    this.bytesSeen = bytesRead;
    const hasMore = isFirst ? this.readPiece() : this.mayHaveMore;
    if (hasMore) this.scheduler.add(this);
    this.noticeEnd();
    this.charge();
  }

  /** An empty read lets the socket report its end while nothing more is read. */
  private noticeEnd(): void {
    if (this.socket.readableLength === 0) this.socket.read();
  }

  private get mayHaveMore(): boolean {
    return !this.destroyed && this.socket.readableLength > 0;
  }

  /** Hands over one piece unless a limit is reached; whether there is another. */
  readPiece(): boolean {
    if (this.isReading || !this.wantsData || !this.mayHaveMore) return false;
    if (!this.canRead()) return false;
    const size = Math.min(this.choosePieceBytes(), this.socket.readableLength);
    const piece = this.socket.read(size) as Buffer | null;
    if (piece === null) return false;
    if (!this.isReadingBody) this.countHeaders(piece);
    // Handing over a piece may end a request, which reads on.
    this.isReading = true;
    this.wantsData = this.push(piece);
    this.isReading = false;
    if (this.mayHaveMore) return true;
    this.noticeEnd();
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
    if (!canRead && !this.isBlocked && this.socket.readableLength > 0)
      this.events.onPause();
    if (this.isBlocked && canRead) this.headersSince = this.readClock();
    this.isBlocked = !canRead;
    return canRead;
  }

  /** Charges received bytes and incomplete headers. */
  private charge(): void {
    if (this.destroyed) return;
    const headers = Math.max(0, this.headerBytes - FREE_HEADER_BYTES);
    const bytes = CONNECTION_BYTES + this.socket.readableLength + headers;
    if (!this.account.trySet(bytes)) this.events.onMemoryShort(this);
  }
}
