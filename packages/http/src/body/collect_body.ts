/** Collects a request's body within a size limit and a memory budget. */
import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from './body_buffer.js';

/** Why a body was not collected. */
export enum BodyRefusal {
  TooLarge = 'too_large',
  NoMemory = 'no_memory',
  /** The body has not ended in time. */
  TooLate = 'too_late',
}

/** A body, or why there is none. */
export type CollectedBody =
  | {readonly kind: 'complete'; readonly bytes: Buffer}
  | {readonly kind: 'refused'; readonly reason: BodyRefusal};

/** Limits of a body. */
export interface BodyLimits {
  readonly limitBytes: number;
  /** Reserves memory before it is allocated; false if there is none. */
  readonly reserve?: (bytes: number) => boolean;
  /** Time in which the body has to end, in ms. */
  readonly timeoutMs?: number;
}

/**
 * Collects the body. The rest of a refused one is read and discarded, so that the
 * connection stays usable. Rejects if the client closes the connection before
 * the end of the body.
 */
export function collectBody(
  request: IncomingMessage,
  {limitBytes, reserve = () => true, timeoutMs}: BodyLimits,
): Promise<CollectedBody> {
  return new Promise((resolve, reject) => {
    const length = request.headers['content-length'];
    const expected = length === undefined ? limitBytes : Number(length);
    const body = new BodyBuffer(limitBytes, expected);
    const timer =
      timeoutMs === undefined
        ? undefined
        : setTimeout(() => refuse(BodyRefusal.TooLate), timeoutMs);
    const stop = () => {
      clearTimeout(timer);
      request.off('data', append);
      request.off('end', complete);
      request.off('close', rejectOnClose);
      request.off('error', rejectOnError);
    };
    const refuse = (reason: BodyRefusal) => {
      stop();
      // An error after this ends the connection; nobody waits for the body.
      request.on('error', () => undefined);
      request.resume();
      resolve({kind: 'refused', reason});
    };
    const append = (chunk: Buffer) => {
      const growth = body.findGrowth(chunk.length);
      if (growth === Infinity) return refuse(BodyRefusal.TooLarge);
      if (growth > 0 && !reserve(growth)) return refuse(BodyRefusal.NoMemory);
      body.append(chunk);
    };
    const complete = () => {
      stop();
      resolve({kind: 'complete', bytes: body.bytes});
    };
    const rejectOnError = (cause: Error) => {
      stop();
      reject(cause);
    };
    const rejectOnClose = () =>
      rejectOnError(
        new Error(
          'the client closed the connection before the end of the request body',
        ),
      );
    request.once('close', rejectOnClose);
    request.once('error', rejectOnError);
    request.on('data', append);
    request.once('end', complete);
  });
}
