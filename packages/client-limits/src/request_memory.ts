/** What one request holds of the memory budget. */
import type {IncomingMessage} from 'node:http';
import type {MemoryAccount} from './memory_budget.js';

/** A request, its response and its job without a body, in bytes. */
const REQUEST_BYTES = 8 * 1_024;
/** What a header's name or value costs beside its characters, in bytes. */
const STRING_OVERHEAD_BYTES = 32;
/**
 * Share of the budget for bodies: while bodies that don't end hold it, other
 * requests are still served.
 */
const BODY_SHARE = 0.75;
/** Bodies up to this size may use the whole budget, in bytes. */
const SMALL_BODY_BYTES = 4 * 1_024;

/** Reserves memory for a request, its body and its job. */
export class RequestMemory {
  /** Whether there was memory for the request. */
  readonly isAvailable: boolean;
  private bodyBytes = 0;

  constructor(
    private readonly account: MemoryAccount,
    {rawHeaders, url = ''}: Pick<IncomingMessage, 'rawHeaders' | 'url'>,
  ) {
    const headerBytes = rawHeaders.reduce((sum, {length}) => sum + length, 0);
    const stringBytes = rawHeaders.length * STRING_OVERHEAD_BYTES;
    const bytes = REQUEST_BYTES + headerBytes + stringBytes + url.length;
    this.isAvailable = account.tryTake(bytes);
  }

  /** Reserves memory for more of the body; false if there is none. */
  reserveBody(bytes: number): boolean {
    const isSmall = this.bodyBytes + bytes <= SMALL_BODY_BYTES;
    if (!this.account.tryTake(bytes, isSmall ? 1 : BODY_SHARE)) return false;
    this.bodyBytes += bytes;
    return true;
  }

  /** Reserves memory for the job of a body; false if there is none. */
  reserveJob(bytes: number): boolean {
    return this.account.tryTake(bytes);
  }

  /** Returns all that is held. */
  close(): void {
    this.account.close();
  }
}
