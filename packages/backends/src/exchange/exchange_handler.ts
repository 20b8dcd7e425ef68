/**
 * Follows one request through undici. undici calls `onRequestStart` right
 * before it writes, so a request that fails without that call was never sent.
 */
import {readClock, type Millis} from '@goldcrestpier/runtime';
import type {Dispatcher} from 'undici';
import {ExchangeKind, type Exchange} from './types.js';

/** Reports one exchange's end exactly once, whatever undici does later. */
export class ExchangeHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private ended = false;
  private status = 0;
  private bytes = 0;
  private startedAt: Millis = 0;
  private readonly chunks: Buffer[] = [];

  constructor(
    private readonly maxAnswerBytes: number,
    private readonly onEnd: (exchange: Exchange) => void,
  ) {}

  /** undici: about to write. A second call would be a retry of its own. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    const again = this.controller !== undefined;
    this.controller = controller;
    if (this.ended) return controller.abort(new Error('given up'));
    if (again) return this.lose('connection lost');
    this.startedAt = readClock();
  }

  /** undici: the status line and the headers. */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.status = statusCode;
  }

  /** undici: a piece of the body. */
  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.bytes += chunk.length;
    if (this.bytes > this.maxAnswerBytes) return this.lose('answer too large');
    this.chunks.push(chunk);
  }

  /** undici: the whole answer is there. */
  onResponseEnd(): void {
    this.end({
      kind: ExchangeKind.Answered,
      status: this.status,
      body: parseJson(Buffer.concat(this.chunks)),
      elapsedMs: readClock() - this.startedAt,
    });
  }

  /** undici: no answer will come. */
  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    this.fail(describe(error));
  }

  /** Ends it as lost or not sent, and closes its connection. */
  fail(reason: string): void {
    if (this.controller !== undefined) return this.lose(reason);
    this.end({kind: ExchangeKind.NotSent, reason});
  }

  /** Ends it because the caller gave it up, and closes its connection. */
  abort(): void {
    this.end({
      kind: ExchangeKind.Aborted,
      sent: this.controller !== undefined,
    });
    this.controller?.abort(new Error('given up'));
  }

  private lose(reason: string): void {
    this.end({kind: ExchangeKind.Lost, reason});
    this.controller?.abort(new Error(reason));
  }

  private end(exchange: Exchange): void {
    if (this.ended) return;
    this.ended = true;
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

function describe(error: Error): string {
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code}`;
}
