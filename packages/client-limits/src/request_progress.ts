/** How far the requests of a connection have come, and what the parser keeps of them. */
import type {IncomingMessage} from 'node:http';
import type {Millis} from '@goldcrestpier/runtime';
import {CountedRequest} from './counted_request.js';

/** Received headers that are not charged, so that a request can be refused. */
const FREE_FIELD_BYTES = 2_048;
/**
 * What the parser keeps of headers and trailers takes a multiple of their bytes: a
 * string for each name and each value.
 */
const FIELD_COST_FACTOR = 3;

/** The requests of one connection; the last one may be incomplete. */
export class RequestProgress {
  /** The request that was read last. */
  private lastRequest: IncomingMessage | undefined;
  private count = 0;
  /** Bytes of headers or trailers that have not ended. */
  private fieldBytes = 0;
  /** Since when headers are awaited and may be read. */
  private headersSince: Millis;
  /** Time by which the last body has to end. */
  private bodyDueAt: Millis = Infinity;

  constructor(now: Millis) {
    this.headersSince = now;
  }

  /** Number of requests that have been read and whose responses were not sent. */
  get inProgress(): number {
    return this.count;
  }

  /** Whether no request has been read, even in part. */
  get isIdle(): boolean {
    return this.count === 0 && this.fieldBytes === 0;
  }

  /** Whether a request has been read in part. */
  get isReceiving(): boolean {
    return this.fieldBytes > 0 || this.isReadingBody;
  }

  /** Whether the body of the last request, or what follows it, has not ended. */
  get isReadingBody(): boolean {
    return this.lastRequest?.complete === false;
  }

  /** Bytes that are missing of a body whose length is declared and that is wanted. */
  get declaredRest(): number {
    const request = this.lastRequest;
    if (!this.isReadingBody || this.count !== 1) return 0;
    const length = Number(request?.headers['content-length'] ?? 0);
    return length - countBodyBytes(request);
  }

  /** Records a request whose headers have been read. */
  begin(request: IncomingMessage): void {
    this.lastRequest = request;
    this.count += 1;
    this.fieldBytes = 0;
  }

  /** Records that a response was sent. */
  end(): void {
    this.count -= 1;
  }

  /** Sets the time by which the body of the last request has to end. */
  limitBody(dueAt: Millis): void {
    this.bodyDueAt = dueAt;
  }

  /** Whether a body is late. */
  isBodyLate(now: Millis): boolean {
    return this.isReadingBody && now >= this.bodyDueAt;
  }

  /** Starts the time for headers anew, as they can be read only now. */
  restartHeaders(now: Millis): void {
    this.headersSince = now;
  }

  /** Whether headers are late. */
  areHeadersLate(now: Millis, timeoutMs: Millis): boolean {
    const areAwaited = this.lastRequest === undefined || this.fieldBytes > 0;
    if (!areAwaited || this.isReadingBody) return false;
    return now - this.headersSince >= timeoutMs;
  }

  /** Has the parser parse `bytes` by `parse`, and counts what it keeps of them. */
  countParsed(bytes: number, now: Millis, parse: () => void): void {
    if (this.isReadingBody) return this.countBody(bytes, parse);
    if (this.fieldBytes === 0) this.headersSince = now;
    this.fieldBytes += bytes;
    parse();
  }

  /** Bytes of a body after which the parser reports none of it are trailers. */
  private countBody(bytes: number, parse: () => void): void {
    const request = this.lastRequest;
    const before = countBodyBytes(request);
    parse();
    // The headers of the next request have been counted anew.
    if (this.lastRequest !== request) return;
    const hasEnded = request?.complete !== false;
    const isBody = countBodyBytes(request) > before;
    this.fieldBytes = hasEnded || isBody ? 0 : this.fieldBytes + bytes;
  }

  /** Estimate of what the parser keeps of headers or trailers, in bytes. */
  get fieldCost(): number {
    return Math.max(0, this.fieldBytes - FREE_FIELD_BYTES) * FIELD_COST_FACTOR;
  }
}

function countBodyBytes(request: IncomingMessage | undefined): number {
  return request instanceof CountedRequest ? request.bodyBytes : 0;
}
