/** A caller of the demo: one session, its jobs, and answers by long poll. */
import {request, type Agent} from 'undici';

const WAIT_MS = 500;

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

/** Opens sessions, submits and reads. Each call rejects when it is refused. */
export class Caller {
  constructor(private readonly connections: Agent) {}

  /** Opens a session at the entry instance at `url`. */
  async openSession(url: string): Promise<string> {
    const answer = await this.send('POST', `${url}/v1/sessions`, {});
    return (answer as {session: string}).session;
  }

  /** Submits a job, or the same job once more, without waiting for its end. */
  async submit(url: string, session: string, job: DemoJob): Promise<JobAnswer> {
    const {key, ...content} = job;
    const path = `${url}/v1/sessions/${session}/jobs/${key}?attempt=1&wait=0`;
    return (await this.send('PUT', path, content)) as JobAnswer;
  }

  /** Reads a job; waits a while for its end. */
  async read(url: string, session: string, key: string): Promise<JobAnswer> {
    const path = `${url}/v1/sessions/${session}/jobs/${key}?wait=${WAIT_MS}`;
    return (await this.send('GET', path)) as JobAnswer;
  }

  private async send(
    method: 'GET' | 'PUT' | 'POST',
    url: string,
    body?: object,
  ): Promise<unknown> {
    const {statusCode, body: answer} = await request(url, {
      method,
      dispatcher: this.connections,
      headers: {'content-type': 'application/json'},
      body: body === undefined ? null : JSON.stringify(body),
    });
    const document: unknown = await answer.json();
    if (statusCode < 300) return document;
    throw new Error(`${method} ${url}: ${JSON.stringify(document)}`);
  }
}
