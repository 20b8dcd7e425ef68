/** Opens the client's session on demand and replaces it when it is retired. */
import {
  createFailure,
  FailureCode,
  RunStatus,
  sessionAnswerSchema,
  type Failure,
} from '@goldcrestpier/protocol';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {Pool} from 'undici';
import type {ResolvedClientOptions} from '../client/options.js';
import {OutcomeKind, sendRequest} from '../request/index.js';
import {RetryLimits, type RetryBudget} from '../retry/index.js';
import {Session} from './session.js';

/** Time limit for opening a session, regardless of the jobs' deadlines. */
const OPEN_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const SESSIONS_PATH = '/v1/sessions';

/** Provides the client's one session; concurrent callers share its opening. */
export class SessionManager {
  private current: Session | undefined;
  private opening: Promise<Result<Session, Failure>> | undefined;
  private isClosed = false;

  constructor(
    private readonly options: ResolvedClientOptions,
    private readonly budget: RetryBudget,
  ) {}

  /** Returns a session for a new job; opens one if none is usable. */
  async obtain(): Promise<Result<Session, Failure>> {
    if (this.isClosed) return Err(createClosedFailure());
    const usable = this.getUsable(readClock());
    if (usable !== undefined) return Ok(usable);
    this.opening ??= this.open().finally(() => {
      this.opening = undefined;
    });
    return this.opening;
  }

  /** Ends the session at its owner and closes its connections. */
  async close(): Promise<void> {
    this.isClosed = true;
    await this.opening;
    const session = this.current;
    if (session === undefined) return;
    this.current = undefined;
    if (!session.hold()) return;
    await sendRequest(
      session.pool,
      {
        method: 'DELETE',
        path: `${SESSIONS_PATH}/${session.id}`,
        waitMs: 0,
      },
      sessionAnswerSchema,
    );
    session.retire();
    session.release(readClock());
  }

  private getUsable(now: number): Session | undefined {
    if (this.current?.isUsable(now)) return this.current;
    this.current?.retire();
    this.current = undefined;
    return undefined;
  }

  private async open(): Promise<Result<Session, Failure>> {
    const limits = new RetryLimits(
      readClock() + OPEN_TIMEOUT_MS,
      this.options.maxTries,
      this.budget,
    );
    for (;;) {
      const opened = await this.openOnce();
      if (opened.isOk()) {
        this.current = opened.value;
        return opened;
      }
      if (opened.error.final) return opened;
      const delayMs = limits.takeRetryDelayMs(
        readClock(),
        opened.error.retryAfterMs,
        Math.random(),
      );
      if (delayMs === undefined) return opened;
      await sleep(delayMs);
    }
  }

  /** Uses new connections, so that the balancer chooses an instance again. */
  private async openOnce(): Promise<Result<Session, Failure>> {
    const pool = this.createPool();
    const request = {method: 'POST', path: SESSIONS_PATH, waitMs: 0} as const;
    const outcome = await sendRequest(pool, request, sessionAnswerSchema);
    if (outcome.kind === OutcomeKind.Answer) {
      const {session, idleMs} = outcome.body;
      return Ok(new Session(session, pool, idleMs, readClock()));
    }
    await pool.destroy();
    if (outcome.kind === OutcomeKind.Failure) return Err(outcome.failure);
    return Err(createUnreachableFailure(this.options.origin, RunStatus.NotRun));
  }

  private createPool(): Pool {
    return new Pool(this.options.origin, {
      connections: this.options.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connect: {timeout: this.options.connectTimeoutMs},
    });
  }
}

/** Creates the failure of a call to which no entry instance responded. */
export function createUnreachableFailure(
  origin: string,
  ran: RunStatus,
): Failure {
  return createFailure(FailureCode.OwnerUnreachable, {owner: origin}, {ran});
}

function createClosedFailure(): Failure {
  return createFailure(FailureCode.Cancelled, {}, {ran: RunStatus.NotRun});
}
