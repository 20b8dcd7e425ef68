/** One lease on a guarded worker: renewed and followed until the task ends. */
import {readClock, sleep, type Millis} from '@goldcrestpier/runtime';
import {
  ExchangeKind,
  type Exchange,
  type ServerPools,
} from '../exchange/index.js';
import {StartKind, type StartOutcome} from '../start_outcome.js';
import {LeaseState, leaseReportSchema, type LeaseReport} from './messages.js';

/** How long a worker may hold back its answer while the task runs. */
const WAIT_MS = 10_000;
/** Allowed for an answer on top of what the worker may hold it back. */
const ANSWER_MS = 2_000;
const RETRY_MS = 100;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** The two sets of connections that a lease needs. */
export interface WorkerConnections {
  /** Leases, renewals and stops: never behind a waiting question. */
  readonly control: ServerPools;
  /** Questions that a worker holds back while the task runs. */
  readonly waiting: ServerPools;
}

/** How long a lease lasts and how often it is renewed. */
export interface LeaseTimes {
  readonly leaseMs: Millis;
  readonly renewMs: Millis;
}

/** Renews and follows one lease. */
export class WorkerLease {
  private readonly path: string;
  private readonly ended = new AbortController();
  private renewedAt: Millis;
  private gone = false;

  constructor(
    private readonly connections: WorkerConnections,
    private readonly address: string,
    lease: string,
    private readonly times: LeaseTimes,
    private readonly startedAt: Millis,
  ) {
    this.path = `/v1/leases/${encodeURIComponent(lease)}`;
    this.renewedAt = startedAt;
  }

  /** Follows the task to its end. Never rejects. */
  async follow(endsAt: Millis, signal: AbortSignal): Promise<StartOutcome> {
    const renewing = this.renewUntilEnd();
    const outcome = await this.askUntilEnd(endsAt, signal);
    this.ended.abort();
    await renewing;
    return outcome;
  }

  /** Asks the worker to stop the task; what comes of it is not awaited. */
  stop(): void {
    void this.connections.control.send({
      address: this.address,
      method: 'POST',
      path: `${this.path}/stop`,
      body: {},
      timeoutMs: ANSWER_MS,
    });
  }

  private async renewUntilEnd(): Promise<void> {
    const {leaseMs, renewMs} = this.times;
    while (!this.ended.signal.aborted && !this.gone) {
      await sleep(renewMs, this.ended.signal);
      if (this.ended.signal.aborted) return;
      const sentAt = readClock();
      const exchange = await this.connections.control.send({
        address: this.address,
        method: 'POST',
        path: `${this.path}/renew`,
        body: {leaseMs},
        timeoutMs: renewMs,
        signal: this.ended.signal,
      });
      if (exchange.kind !== ExchangeKind.Answered) continue;
      if (exchange.status === HTTP_NOT_FOUND) this.gone = true;
      // Counted from the sending: the worker counts from no earlier.
      if (exchange.status === HTTP_OK) this.renewedAt = sentAt;
    }
  }

  private async askUntilEnd(
    endsAt: Millis,
    signal: AbortSignal,
  ): Promise<StartOutcome> {
    for (;;) {
      const now = readClock();
      if (now >= endsAt) {
        this.stop();
        return {kind: StartKind.Unknown, reason: 'timeout'};
      }
      const lapsed = this.gone || now - this.renewedAt >= this.times.leaseMs;
      const exchange = await this.ask(lapsed ? 0 : endsAt - now, signal);
      if (exchange.kind === ExchangeKind.Aborted) {
        this.stop();
        return {kind: StartKind.Stopped, sent: true};
      }
      const outcome = this.readReport(exchange);
      if (outcome !== undefined) return outcome;
      // The last question of a lapsed lease was in vain.
      if (lapsed) return {kind: StartKind.LeaseLost};
      if (exchange.kind !== ExchangeKind.Answered) {
        await sleep(RETRY_MS, signal);
      }
    }
  }

  private ask(leftMs: Millis, signal: AbortSignal): Promise<Exchange> {
    const waitMs = Math.max(
      Math.floor(Math.min(WAIT_MS, leftMs, this.times.leaseMs)),
      0,
    );
    return this.connections.waiting.send({
      address: this.address,
      method: 'GET',
      path: `${this.path}?waitMs=${waitMs}`,
      timeoutMs: waitMs + ANSWER_MS,
      signal,
    });
  }

  /** The end that a report tells of; undefined while the task runs. */
  private readReport(exchange: Exchange): StartOutcome | undefined {
    if (exchange.kind !== ExchangeKind.Answered) return undefined;
    if (exchange.status === HTTP_NOT_FOUND) return {kind: StartKind.LeaseLost};
    const report = leaseReportSchema.safeParse(exchange.body);
    if (exchange.status !== HTTP_OK || !report.success) {
      return {kind: StartKind.Unknown, reason: `status ${exchange.status}`};
    }
    return toOutcome(report.data, readClock() - this.startedAt);
  }
}

function toOutcome(
  report: LeaseReport,
  runMs: Millis,
): StartOutcome | undefined {
  const usage = report.usage;
  switch (report.state) {
    case LeaseState.Running:
      return undefined;
    case LeaseState.Done:
      return {kind: StartKind.Done, result: report.result, runMs, usage};
    case LeaseState.Failed:
      return {kind: StartKind.Failed, reason: report.reason, runMs, usage};
    case LeaseState.Stopped:
      return {kind: StartKind.Stopped, sent: true};
    case LeaseState.Lapsed:
      return {kind: StartKind.LeaseLost};
  }
}
