/**
 * undici handler for one request. undici calls `onRequestStart` right before it
 * writes the request, so a request that fails without that call was never sent.
 */
import {readClock, type Millis} from '@goldcrestpier/runtime';
import type {Dispatcher} from 'undici';
import {ExchangeKind, type Exchange} from './types.js';

/** Reports the end of one exchange exactly once; ignores later callbacks. */
export class ExchangeHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private hasEnded = false;
  private status = 0;
  private receivedBytes = 0;
  private startedAt: Millis = 0;
  private readonly chunks: Buffer[] = [];

  constructor(
    private readonly maxResponseBytes: number,
    private readonly onEnd: (exchange: Exchange) => void,
  ) {}

  /** Called before the request is written; a second call is an undici retry. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRetry = this.controller !== undefined;
    this.controller = controller;
    if (this.hasEnded)
      return controller.abort(new Error('aborted by the caller'));
    if (isRetry) return this.endAsLost('connection lost before the response');
    this.startedAt = readClock();
  }

  /** Called when the status line and the headers have arrived. */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.status = statusCode;
  }

  /** Called for each chunk of the response body. */
  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.maxResponseBytes)
      return this.endAsLost('response body too large');
    this.chunks.push(chunk);
  }

  /** Called when the response is complete. */
  onResponseEnd(): void {
    this.end({
      kind: ExchangeKind.Completed,
      status: this.status,
      body: parseJson(Buffer.concat(this.chunks)),
      elapsedMs: readClock() - this.startedAt,
    });
  }

  /** Called when the request or its response has failed. */
  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    this.fail(describeError(error));
  }

  /** Ends the exchange as lost or not sent, and closes its connection. */
  fail(reason: string): void {
    if (this.controller !== undefined) return this.endAsLost(reason);
    this.end({kind: ExchangeKind.NotSent, reason});
  }

  /** Ends the exchange as aborted by the caller, and closes its connection. */
  abort(): void {
    this.end({
      kind: ExchangeKind.Aborted,
      sent: this.controller !== undefined,
    });
    this.controller?.abort(new Error('aborted by the caller'));
  }

  private endAsLost(reason: string): void {
    this.end({kind: ExchangeKind.Lost, reason});
    this.controller?.abort(new Error(reason));
  }

  private end(exchange: Exchange): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.chunks.length = 0;
    this.onEnd(exchange);
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

function describeError(error: Error): string {
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code}`;
}
