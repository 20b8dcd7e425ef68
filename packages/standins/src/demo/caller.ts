/** A caller of the demo: one session, its jobs, and answers by long poll. */
import {sleep} from '@goldcrestpier/runtime';
import {request, type Agent} from 'undici';

const WAIT_MS = 150;
const FIRST_REFUSAL = 300;
const MOST_TRIES = 20;
const DEFAULT_RETRY_MS = 200;

/** One task of an answer, as far as the demo looks at it. */
export interface TaskAnswer {
  readonly index: number;
  readonly state: string;
  readonly result?: {readonly echo: unknown; readonly server: string};
}

/** A job's answer, as far as the demo looks at it. */
export interface JobAnswer {
  readonly state: string;
  readonly tasks: readonly TaskAnswer[];
}

/** A job as it is submitted. */
export interface DemoJob {
  readonly key: string;
  readonly team: string;
  readonly deadlineMs: number;
  readonly tasks: readonly object[];
}

/** One request. */
interface Question {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly url: string;
  readonly body?: object;
}

/** What a refusal says, as far as the demo looks at it. */
interface Refusal {
  readonly ran: string;
  readonly final: boolean;
  readonly retryAfterMs?: number;
}

/** An answer or a refusal. */
interface Exchange {
  readonly status: number;
  readonly document: unknown;
}

/** Opens sessions, submits and reads. Each call rejects when it is refused. */
export class Caller {
  constructor(private readonly connections: Agent) {}

  /** Opens a session at the entry instance at `url`. */
  async openSession(url: string): Promise<string> {
    const answer = await this.ask(() => ({
      method: 'POST',
      url: `${url}/v1/sessions`,
      body: {},
    }));
    return (answer as {session: string}).session;
  }

  /** Submits a job, or the same job once more, without waiting for its end. */
  async submit(url: string, session: string, job: DemoJob): Promise<JobAnswer> {
    const {key, ...body} = job;
    const path = `${url}/v1/sessions/${session}/jobs/${key}`;
    const answer = await this.ask(attempt => ({
      method: 'PUT',
      url: `${path}?attempt=${attempt}&wait=0`,
      body,
    }));
    return answer as JobAnswer;
  }

  /** Reads a job; waits a while for its end. */
  async read(url: string, session: string, key: string): Promise<JobAnswer> {
    const path = `${url}/v1/sessions/${session}/jobs/${key}`;
    const answer = await this.ask(() => ({
      method: 'GET',
      url: `${path}?wait=${WAIT_MS}`,
    }));
    return answer as JobAnswer;
  }

  /** Asks again as refusals say; a task that did not run takes an attempt. */
  private async ask(describe: (attempt: number) => Question): Promise<unknown> {
    let attempt = 1;
    for (let tries = 1; ; tries += 1) {
      const question = describe(attempt);
      const {status, document} = await this.send(question);
      if (status < FIRST_REFUSAL) return document;
      const {ran, final, retryAfterMs} = document as Refusal;
      if (final || tries === MOST_TRIES) {
        const text = JSON.stringify(document);
        throw new Error(`${question.method} ${question.url}: ${text}`);
      }
      if (ran === 'not_run') attempt += 1;
      await sleep(retryAfterMs ?? DEFAULT_RETRY_MS);
    }
  }

  private async send({method, url, body}: Question): Promise<Exchange> {
    const {statusCode, body: answer} = await request(url, {
      method,
      dispatcher: this.connections,
      headers: {'content-type': 'application/json'},
      body: body === undefined ? null : JSON.stringify(body),
    });
    return {status: statusCode, document: await answer.json()};
  }
}
