/** The calls on one job, each sent once. */
import {jobAnswerSchema, type JobAnswer} from '@goldcrestpier/protocol';
import type {Dispatcher} from 'undici';
import {sendExchange, type Reply} from '../exchange/index.js';

/** The calls on one job, each sent once. */
export class JobCalls {
  private readonly path: string;

  constructor(
    private readonly dispatcher: Dispatcher,
    session: string,
    key: string,
  ) {
    this.path = `/v1/sessions/${session}/jobs/${key}`;
  }

  /** Submits one copy of one attempt and waits for the job's end. */
  submit(
    attempt: number,
    body: string,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Reply<JobAnswer>> {
    const path = `${this.path}?attempt=${attempt}&wait=${waitMs}`;
    const exchange = {method: 'PUT', path, body, waitMs, signal} as const;
    return sendExchange(this.dispatcher, exchange, jobAnswerSchema);
  }

  /** Waits for the job's end. */
  read(
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Reply<JobAnswer>> {
    const path = `${this.path}?wait=${waitMs}`;
    const exchange = {method: 'GET', path, waitMs, signal} as const;
    return sendExchange(this.dispatcher, exchange, jobAnswerSchema);
  }

  /** Cancels the job. */
  cancel(): Promise<Reply<JobAnswer>> {
    const exchange = {method: 'DELETE', path: this.path, waitMs: 0} as const;
    return sendExchange(this.dispatcher, exchange, jobAnswerSchema);
  }
}
