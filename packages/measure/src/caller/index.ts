/** A caller that keeps its session and its connections, and follows refusals. */
import {
  failureSchema,
  jobAnswerSchema,
  JobState,
  RunStatus,
  sessionAnswerSchema,
  type Failure,
} from '@goldcrestpier/protocol';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Agent, request, type Dispatcher} from 'undici';

const WAIT_MS = 60_000;
const CALL_MS = 75_000;
const DEFAULT_RETRY_MS = 200;
const MOST_TRIES = 12;

/** How a job ended for its caller. */
export enum EndKind {
  Complete = 'complete',
  Failed = 'failed',
  Refused = 'refused',
  Lost = 'lost',
}

/** How a job ended for its caller. */
export interface JobEnd {
  readonly kind: EndKind;
  /** From its time in the load to the answer, in milliseconds. */
  readonly responseMs: number;
  /** Codes of the refusals on the way, with how long each took. */
  readonly refusals: ReadonlyArray<{
    readonly code: string;
    readonly ms: number;
  }>;
}

/** What a submission says. */
export interface Submission {
  readonly key: string;
  readonly body: string;
  /** Clock time from which the response counts. */
  readonly dueAt: number;
  /** Whether refusals are final; otherwise they are tried again. */
  readonly isTriedOnce: boolean;
}

/** One caller of one entry instance, with a session of its own. */
export class Caller {
  private readonly connections = new Agent({
    connections: null,
    headersTimeout: CALL_MS,
  });
  private session: Promise<string> | undefined;

  constructor(private readonly url: string) {}

  /** Opens the session ahead of the first job. */
  open(): Promise<string> {
    this.session ??= this.openSession();
    return this.session;
  }

  /** Submits a job and waits for its end. */
  async submit(submission: Submission, session?: string): Promise<JobEnd> {
    const refusals: Array<{code: string; ms: number}> = [];
    const end = (kind: EndKind): JobEnd => ({
      kind,
      responseMs: readClock() - submission.dueAt,
      refusals,
    });
    try {
      const owned = session ?? (await this.open());
      for (let attempt = 1, tries = 0; ; tries += 1) {
        const sentAt = readClock();
        const path = `/v1/sessions/${owned}/jobs/${submission.key}`;
        const query = `?attempt=${attempt}&wait=${WAIT_MS}`;
        const {status, document} = await this.send(
          'PUT',
          path + query,
          submission.body,
        );
        if (status === 200) {
          const {state} = jobAnswerSchema.parse(document);
          const isWhole = state === JobState.Complete;
          return end(isWhole ? EndKind.Complete : EndKind.Failed);
        }
        if (status === 202) continue;
        const failure = failureSchema.parse(document);
        refusals.push({code: failure.code, ms: readClock() - sentAt});
        if (!mayTryAgain(failure, submission, tries)) {
          return end(EndKind.Refused);
        }
        if (failure.ran === RunStatus.NotRun) attempt += 1;
        await sleep(failure.retryAfterMs ?? DEFAULT_RETRY_MS);
      }
    } catch {
      return end(EndKind.Lost);
    }
  }

  /** Cancels a job; whatever is answered is passed over. */
  async cancel(key: string): Promise<void> {
    try {
      const session = await this.open();
      await this.send('DELETE', `/v1/sessions/${session}/jobs/${key}`);
    } catch {
      // The job's own answer tells what became of it.
    }
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.connections.destroy();
  }

  private async openSession(): Promise<string> {
    const {document} = await this.send('POST', '/v1/sessions');
    return sessionAnswerSchema.parse(document).session;
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
  ): Promise<{status: number; document: unknown}> {
    const {statusCode, body: answer} = await request(`${this.url}${path}`, {
      method,
      dispatcher: this.connections,
      headers: {'content-type': 'application/json'},
      body: body ?? null,
    });
    return {status: statusCode, document: await answer.json()};
  }
}

function mayTryAgain(
  failure: Failure,
  {isTriedOnce}: Submission,
  tries: number,
): boolean {
  return !failure.final && !isTriedOnce && tries < MOST_TRIES;
}
