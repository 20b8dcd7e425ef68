/** A small owner of sessions whose requests meet the faults that a test lists. */
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createFailure,
  FailureCode,
  JobState,
  RunStatus,
  getHttpStatus,
  TaskState,
  type Failure,
} from '@goldcrestpier/protocol';

/** What one request on a job meets. */
export type Fault =
  | {readonly kind: 'none'}
  | {readonly kind: 'lost-before' | 'lost-after' | 'running' | 'garbled'}
  | {readonly kind: 'fails'; readonly failure: Failure};

/** The fault of a request that is answered with `failure`. */
export function failWith(failure: Failure): Fault {
  return {kind: 'fails', failure};
}

interface FakeJob {
  starts: number;
  closed: number;
  cancelled: boolean;
}

/** One request as it arrived. */
interface Seen {
  readonly method: string;
  readonly path: string;
  readonly port: number | undefined;
}

/** Answers as the owner of every session it opened. */
export class FakeEntry {
  readonly seen: Seen[] = [];
  readonly jobs = new Map<string, FakeJob>();
  /** Met by the requests on jobs in this order; afterwards by none. */
  faults: Fault[] = [];
  private sessions = 0;
  private readonly server = createServer((request, response) => {
    const {method = '', url = ''} = request;
    this.seen.push({method, path: url, port: request.socket.remotePort});
    request.resume().on('end', () => this.answer(method, url, response));
  });

  /** Listens on a free port and answers with the origin. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Stops listening and cuts all connections. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** The requests on jobs as `METHOD session-number key attempt`. */
  listJobRequests(): string[] {
    return this.seen
      .map(({method, path}) => {
        const url = new URL(path, 'http://entry');
        const [, , , session, , key] = url.pathname.split('/');
        const attempt = url.searchParams.get('attempt');
        return key && [method, session, key, attempt].filter(Boolean).join(' ');
      })
      .filter(text => text !== undefined);
  }

  private answer(method: string, path: string, response: ServerResponse): void {
    const url = new URL(path, 'http://entry');
    const [, , , session = '', , key] = url.pathname.split('/');
    if (key === undefined) {
      if (method === 'DELETE') return send(response, 200, {});
      this.sessions += 1;
      const opened = {session: `s${this.sessions}`, idleMs: 60_000};
      return send(response, 201, opened);
    }
    const fault = this.faults.shift() ?? {kind: 'none'};
    if (fault.kind === 'lost-before') return void response.destroy();
    const job = this.jobs.get(`${session}/${key}`);
    if (fault.kind === 'fails') {
      this.closeAttempt(method, session, key, url, fault.failure);
      return send(response, getHttpStatus(fault.failure), fault.failure);
    }
    const attempt = Number(url.searchParams.get('attempt'));
    if (method === 'PUT' && job !== undefined && job.closed >= attempt) {
      const args = {attempt, closed: job.closed};
      const failure = createFailure(FailureCode.AttemptClosed, args);
      return send(response, getHttpStatus(failure), failure);
    }
    const taken = method === 'PUT' ? this.take(session, key) : job;
    if (method === 'DELETE' && taken !== undefined) taken.cancelled = true;
    if (fault.kind === 'lost-after') return void response.destroy();
    if (fault.kind === 'garbled') return send(response, 502, 'bad gateway');
    if (taken === undefined || taken.starts === 0) {
      const failure = createFailure(FailureCode.JobUnknown, {key});
      return send(response, getHttpStatus(failure), failure);
    }
    const running = fault.kind === 'running';
    const state = running
      ? JobState.Running
      : taken.cancelled
        ? JobState.Failed
        : JobState.Complete;
    const tasks = [{index: 0, state: TaskState.Done, result: key}];
    const answer = {session, key, attempt: attempt || 1, state, tasks};
    send(response, running ? 202 : 200, answer);
  }

  private take(session: string, key: string): FakeJob {
    const job = this.find(session, key);
    if (job.starts === 0) job.starts = 1;
    return job;
  }

  /** A true "not run" closes the attempt, unless the job was taken before. */
  private closeAttempt(
    method: string,
    session: string,
    key: string,
    url: URL,
    failure: Failure,
  ): void {
    if (method !== 'PUT' || failure.ran !== RunStatus.NotRun) return;
    const job = this.find(session, key);
    job.closed = Number(url.searchParams.get('attempt'));
  }

  private find(session: string, key: string): FakeJob {
    const name = `${session}/${key}`;
    const job = this.jobs.get(name) ?? {starts: 0, closed: 0, cancelled: false};
    this.jobs.set(name, job);
    return job;
  }
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
