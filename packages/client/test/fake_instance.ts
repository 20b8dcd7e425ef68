/** A fake entry instance that injects the faults listed by a test. */
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

/**
 * What happens to one request about a job. A reset closes the connection without
 * a response, before or after the instance has accepted the request.
 */
export type Fault =
  | {readonly kind: 'none'}
  | {readonly kind: 'reset-before' | 'reset-after' | 'running' | 'malformed'}
  | {readonly kind: 'failure'; readonly failure: Failure};

/** Makes a request fail with `failure`. */
export function failWith(failure: Failure): Fault {
  return {kind: 'failure', failure};
}

interface FakeJob {
  starts: number;
  closedAttempt: number;
  isCancelled: boolean;
}

/** One request as received; `port` is the client's. */
interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly port: number | undefined;
}

/** Owns the sessions that it opens and completes each accepted job at once. */
export class FakeInstance {
  readonly requests: ReceivedRequest[] = [];
  readonly jobs = new Map<string, FakeJob>();
  /** Applied in order to the requests about jobs; later requests succeed. */
  faults: Fault[] = [];
  private openedSessions = 0;
  private readonly server = createServer((request, response) => {
    const {method = '', url = ''} = request;
    this.requests.push({method, path: url, port: request.socket.remotePort});
    request.resume().on('end', () => this.respond(method, url, response));
  });

  /** Listens on a free port and returns the origin. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** The requests about jobs as `METHOD session-number key attempt`. */
  listJobRequests(): string[] {
    return this.requests
      .map(({method, path}) => {
        const url = new URL(path, 'http://entry');
        const [, , , session, , key] = url.pathname.split('/');
        const attempt = url.searchParams.get('attempt');
        return key && [method, session, key, attempt].filter(Boolean).join(' ');
      })
      .filter(text => text !== undefined);
  }

  private respond(
    method: string,
    path: string,
    response: ServerResponse,
  ): void {
    const url = new URL(path, 'http://entry');
    const [, , , session = '', , key] = url.pathname.split('/');
    if (key === undefined) {
      if (method === 'DELETE') return send(response, 200, {});
      this.openedSessions += 1;
      const opened = {session: `s${this.openedSessions}`, idleMs: 60_000};
      return send(response, 201, opened);
    }
    const fault = this.faults.shift() ?? {kind: 'none'};
    if (fault.kind === 'reset-before') return void response.destroy();
    const job = this.jobs.get(`${session}/${key}`);
    if (fault.kind === 'failure') {
      this.closeAttempt(method, session, key, url, fault.failure);
      return send(response, getHttpStatus(fault.failure), fault.failure);
    }
    const attempt = Number(url.searchParams.get('attempt'));
    if (method === 'PUT' && job !== undefined && job.closedAttempt >= attempt) {
      const args = {attempt, closed: job.closedAttempt};
      const failure = createFailure(FailureCode.AttemptClosed, args);
      return send(response, getHttpStatus(failure), failure);
    }
    const accepted = method === 'PUT' ? this.acceptJob(session, key) : job;
    if (method === 'DELETE' && accepted !== undefined)
      accepted.isCancelled = true;
    if (fault.kind === 'reset-after') return void response.destroy();
    if (fault.kind === 'malformed') return send(response, 502, 'bad gateway');
    if (accepted === undefined || accepted.starts === 0) {
      const failure = createFailure(FailureCode.JobUnknown, {key});
      return send(response, getHttpStatus(failure), failure);
    }
    const isRunning = fault.kind === 'running';
    const state = isRunning
      ? JobState.Running
      : accepted.isCancelled
        ? JobState.Failed
        : JobState.Complete;
    const tasks = [{index: 0, state: TaskState.Done, result: key}];
    const answer = {session, key, attempt: attempt || 1, state, tasks};
    send(response, isRunning ? 202 : 200, answer);
  }

  private acceptJob(session: string, key: string): FakeJob {
    const job = this.findJob(session, key);
    if (job.starts === 0) job.starts = 1;
    return job;
  }

  /** Closes the attempt if its submission failed with "not run". */
  private closeAttempt(
    method: string,
    session: string,
    key: string,
    url: URL,
    failure: Failure,
  ): void {
    if (method !== 'PUT' || failure.ran !== RunStatus.NotRun) return;
    const job = this.findJob(session, key);
    job.closedAttempt = Number(url.searchParams.get('attempt'));
  }

  private findJob(session: string, key: string): FakeJob {
    const name = `${session}/${key}`;
    const job = this.jobs.get(name) ?? {
      starts: 0,
      closedAttempt: 0,
      isCancelled: false,
    };
    this.jobs.set(name, job);
    return job;
  }
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
