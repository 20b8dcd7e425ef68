/** HTTP client of the demo: opens sessions, submits and reads jobs. */
import {sleep} from '@goldcrestpier/runtime';
import {request, type Agent} from 'undici';

const LONG_POLL_MS = 150;
const FIRST_ERROR_STATUS = 300;
const MAX_TRIES = 20;
const DEFAULT_RETRY_MS = 200;

/** One task of a job's answer; only the fields that the demo uses. */
export interface TaskAnswer {
  readonly index: number;
  readonly state: string;
  readonly result?: {readonly echo: unknown; readonly server: string};
}

/** A job's answer; only the fields that the demo uses. */
export interface JobAnswer {
  readonly state: string;
  readonly tasks: readonly TaskAnswer[];
}

/** A job to submit. */
export interface DemoJob {
  readonly key: string;
  readonly team: string;
  readonly deadlineMs: number;
  readonly tasks: readonly object[];
}

interface CallerRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly url: string;
  readonly body?: object;
}

/** Body of a refusal; only the fields that the demo uses. */
interface Refusal {
  readonly ran: string;
  readonly final: boolean;
  readonly retryAfterMs?: number;
}

/** Response with an answer or a refusal. */
interface CallerResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Opens sessions, submits and reads jobs. Rejects on a final refusal. */
export class Caller {
  constructor(private readonly agent: Agent) {}

  /** Opens a session at the entry instance at `url`. */
  async openSession(url: string): Promise<string> {
    const body = await this.sendWithRetries(() => ({
      method: 'POST',
      url: `${url}/v1/sessions`,
      body: {},
    }));
    return (body as {session: string}).session;
  }

  /** Submits or resubmits a job, without waiting for its end. */
  async submit(url: string, session: string, job: DemoJob): Promise<JobAnswer> {
    const {key, ...body} = job;
    const path = `${url}/v1/sessions/${session}/jobs/${key}`;
    const answer = await this.sendWithRetries(attempt => ({
      method: 'PUT',
      url: `${path}?attempt=${attempt}&wait=0`,
      body,
    }));
    return answer as JobAnswer;
  }

  /** Reads a job; a long poll that waits up to `LONG_POLL_MS` for its end. */
  async read(url: string, session: string, key: string): Promise<JobAnswer> {
    const path = `${url}/v1/sessions/${session}/jobs/${key}`;
    const answer = await this.sendWithRetries(() => ({
      method: 'GET',
      url: `${path}?wait=${LONG_POLL_MS}`,
    }));
    return answer as JobAnswer;
  }

  /**
   * Retries a refused request after the delay that the refusal names. The
   * attempt number grows only after a refusal that says the job did not run.
   */
  private async sendWithRetries(
    createRequest: (attempt: number) => CallerRequest,
  ): Promise<unknown> {
    let attempt = 1;
    for (let tries = 1; ; tries += 1) {
      const callerRequest = createRequest(attempt);
      const {status, body} = await this.send(callerRequest);
      if (status < FIRST_ERROR_STATUS) return body;
      const {ran, final, retryAfterMs} = body as Refusal;
      if (final || tries === MAX_TRIES) {
        const text = JSON.stringify(body);
        throw new Error(
          `${callerRequest.method} ${callerRequest.url}: ${text}`,
        );
      }
      if (ran === 'not_run') attempt += 1;
      await sleep(retryAfterMs ?? DEFAULT_RETRY_MS);
    }
  }

  private async send({
    method,
    url,
    body,
  }: CallerRequest): Promise<CallerResponse> {
    const {statusCode, body: responseBody} = await request(url, {
      method,
      dispatcher: this.agent,
      headers: {'content-type': 'application/json'},
      body: body === undefined ? null : JSON.stringify(body),
    });
    return {status: statusCode, body: await responseBody.json()};
  }
}
