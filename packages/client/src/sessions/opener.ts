/** Opens the client's session when it is needed and replaces a used-up one. */
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
import type {FullOptions} from '../client/options.js';
import {ReplyKind, sendExchange} from '../exchange/index.js';
import {Patience, type RetryBudget} from '../retry/index.js';
import {Session} from './session.js';

/** How long opening a session may go on, whatever the jobs' deadlines. */
const OPENING_MS = 30_000;
const KEEP_ALIVE_MS = 60_000;
const SESSIONS_PATH = '/v1/sessions';

/** Hands out the client's one session, opened by the first call in need. */
export class SessionOpener {
  private current: Session | undefined;
  private opening: Promise<Result<Session, Failure>> | undefined;
  private closed = false;

  constructor(
    private readonly options: FullOptions,
    private readonly budget: RetryBudget,
  ) {}

  /** The session for a new job, opened when there is none. */
  async find(): Promise<Result<Session, Failure>> {
    if (this.closed) return Err(createClosedFailure());
    const usable = this.readUsable(readClock());
    if (usable !== undefined) return Ok(usable);
    this.opening ??= this.open().finally(() => {
      this.opening = undefined;
    });
    return this.opening;
  }

  /** Closes the session at its owner, and its connections. */
  async close(): Promise<void> {
    this.closed = true;
    await this.opening;
    const session = this.current;
    if (session === undefined) return;
    this.current = undefined;
    if (!session.hold()) return;
    await sendExchange(
      session.pool,
      {
        method: 'DELETE',
        path: `${SESSIONS_PATH}/${session.identity}`,
        waitMs: 0,
      },
      sessionAnswerSchema,
    );
    session.retire();
    session.release(readClock());
  }

  private readUsable(now: number): Session | undefined {
    if (this.current?.isUsable(now)) return this.current;
    this.current?.retire();
    this.current = undefined;
    return undefined;
  }

  private async open(): Promise<Result<Session, Failure>> {
    const patience = new Patience(
      readClock() + OPENING_MS,
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
      const pauseMs = patience.takeTry(
        readClock(),
        opened.error.retryAfterMs,
        Math.random(),
      );
      if (pauseMs === undefined) return opened;
      await sleep(pauseMs);
    }
  }

  /** Each try takes new connections, so that the balancer chooses anew. */
  private async openOnce(): Promise<Result<Session, Failure>> {
    const pool = this.createPool();
    const exchange = {method: 'POST', path: SESSIONS_PATH, waitMs: 0} as const;
    const reply = await sendExchange(pool, exchange, sessionAnswerSchema);
    if (reply.kind === ReplyKind.Answer) {
      const {session, idleMs} = reply.body;
      return Ok(new Session(session, pool, idleMs, readClock()));
    }
    await pool.destroy();
    if (reply.kind === ReplyKind.Failure) return Err(reply.failure);
    return Err(createUnreachableFailure(this.options.origin, RunStatus.NotRun));
  }

  private createPool(): Pool {
    return new Pool(this.options.origin, {
      connections: this.options.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: this.options.connectTimeoutMs},
    });
  }
}

/** The failure of a call that no entry instance answered. */
export function createUnreachableFailure(
  origin: string,
  ran: RunStatus,
): Failure {
  return createFailure(FailureCode.OwnerUnreachable, {owner: origin}, {ran});
}

function createClosedFailure(): Failure {
  return createFailure(FailureCode.Cancelled, {}, {ran: RunStatus.NotRun});
}
