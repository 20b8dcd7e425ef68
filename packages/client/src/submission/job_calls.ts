/** Requests about one job. */
import {jobAnswerSchema, type JobAnswer} from '@goldcrestpier/protocol';
import type {Dispatcher} from 'undici';
import {sendRequest, type RequestOutcome} from '../request/index.js';

/** The requests about one job; each call sends one request. */
export class JobCalls {
  private readonly path: string;

  constructor(
    private readonly dispatcher: Dispatcher,
    session: string,
    key: string,
  ) {
    this.path = `/v1/sessions/${session}/jobs/${key}`;
  }

  /** Submits the job under an attempt and waits up to `waitMs` for its end. */
  submit(
    attempt: number,
    body: string,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<RequestOutcome<JobAnswer>> {
    const path = `${this.path}?attempt=${attempt}&wait=${waitMs}`;
    const request = {method: 'PUT', path, body, waitMs, signal} as const;
    return sendRequest(this.dispatcher, request, jobAnswerSchema);
  }

  /** Reads the job, waiting up to `waitMs` for its end. */
  read(
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<RequestOutcome<JobAnswer>> {
    const path = `${this.path}?wait=${waitMs}`;
    const request = {method: 'GET', path, waitMs, signal} as const;
    return sendRequest(this.dispatcher, request, jobAnswerSchema);
  }

  /** Cancels the job. */
  cancel(): Promise<RequestOutcome<JobAnswer>> {
    const request = {method: 'DELETE', path: this.path, waitMs: 0} as const;
    return sendRequest(this.dispatcher, request, jobAnswerSchema);
  }
}
