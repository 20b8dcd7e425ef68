/** A lease on a guarded worker, renewed and polled until its task ends. */
import {readClock, sleep, type Millis} from '@goldcrestpier/runtime';
import {
  ExchangeKind,
  type Exchange,
  type ServerPools,
} from '../exchange/index.js';
import {StartKind, type StartOutcome} from '../start_outcome.js';
import {LeaseState, leaseReportSchema, type LeaseReport} from './messages.js';

/** Maximum time for which a worker delays its response to a long poll. */
const MAX_POLL_WAIT_MS = 10_000;
/** Time allowed for a response, in addition to the wait of a long poll. */
const RESPONSE_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 100;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Separate connection pools for control requests and for long polls. */
export interface WorkerConnections {
  /** For leases, renewals and stops, which must not queue behind long polls. */
  readonly control: ServerPools;
  /** For long polls, which a worker holds open while the task runs. */
  readonly longPoll: ServerPools;
}

/** Duration of a lease and interval between its renewals. */
export interface LeaseTimes {
  readonly leaseMs: Millis;
  readonly renewMs: Millis;
}

/** Renews one lease and polls the state of its task. */
export class WorkerLease {
  private readonly path: string;
  private readonly renewalController = new AbortController();
  private renewedAt: Millis;
  private isLeaseGone = false;

  constructor(
    private readonly connections: WorkerConnections,
    private readonly address: string,
    leaseId: string,
    private readonly times: LeaseTimes,
    private readonly startedAt: Millis,
  ) {
    this.path = `/v1/leases/${encodeURIComponent(leaseId)}`;
    this.renewedAt = startedAt;
  }

  /**
   * Waits until the task ends, its lease is lost, `signal` is aborted or
   * `deadlineAt` passes. Never rejects.
   */
  async waitForOutcome(
    deadlineAt: Millis,
    signal: AbortSignal,
  ): Promise<StartOutcome> {
    const renewal = this.renewUntilEnd();
    const outcome = await this.pollUntilEnd(deadlineAt, signal);
    this.renewalController.abort();
    await renewal;
    return outcome;
  }

  /** Asks the worker to stop the task, without waiting for the response. */
  stop(): void {
    void this.connections.control.send({
      address: this.address,
      method: 'POST',
      path: `${this.path}/stop`,
      body: {},
      timeoutMs: RESPONSE_TIMEOUT_MS,
    });
  }

  private async renewUntilEnd(): Promise<void> {
    const {leaseMs, renewMs} = this.times;
    while (!this.renewalController.signal.aborted && !this.isLeaseGone) {
      await sleep(renewMs, this.renewalController.signal);
      if (this.renewalController.signal.aborted) return;
      const sentAt = readClock();
      const exchange = await this.connections.control.send({
        address: this.address,
        method: 'POST',
        path: `${this.path}/renew`,
        body: {leaseMs},
        timeoutMs: renewMs,
        signal: this.renewalController.signal,
      });
      if (exchange.kind !== ExchangeKind.Completed) continue;
      if (exchange.status === HTTP_NOT_FOUND) this.isLeaseGone = true;
      // The worker extends the lease no earlier than the renewal was sent.
      if (exchange.status === HTTP_OK) this.renewedAt = sentAt;
    }
  }

  private async pollUntilEnd(
    deadlineAt: Millis,
    signal: AbortSignal,
  ): Promise<StartOutcome> {
    for (;;) {
      const now = readClock();
      if (now >= deadlineAt) {
        this.stop();
        return {kind: StartKind.Unknown, reason: 'timeout'};
      }
      const isExpired =
        this.isLeaseGone || now - this.renewedAt >= this.times.leaseMs;
      const exchange = await this.poll(
        isExpired ? 0 : deadlineAt - now,
        signal,
      );
      if (exchange.kind === ExchangeKind.Aborted) {
        this.stop();
        return {kind: StartKind.Stopped, sent: true};
      }
      const outcome = this.readReport(exchange);
      if (outcome !== undefined) return outcome;
      // The last poll after the lease expired returned no final state.
      if (isExpired) return {kind: StartKind.LeaseLost};
      if (exchange.kind !== ExchangeKind.Completed) {
        await sleep(RETRY_DELAY_MS, signal);
      }
    }
  }

  private poll(remainingMs: Millis, signal: AbortSignal): Promise<Exchange> {
    const waitMs = Math.max(
      Math.floor(Math.min(MAX_POLL_WAIT_MS, remainingMs, this.times.leaseMs)),
      0,
    );
    return this.connections.longPoll.send({
      address: this.address,
      method: 'GET',
      path: `${this.path}?waitMs=${waitMs}`,
      timeoutMs: waitMs + RESPONSE_TIMEOUT_MS,
      signal,
    });
  }

  /** Maps a poll response to an outcome; undefined without a final state. */
  private readReport(exchange: Exchange): StartOutcome | undefined {
    if (exchange.kind !== ExchangeKind.Completed) return undefined;
    if (exchange.status === HTTP_NOT_FOUND) return {kind: StartKind.LeaseLost};
    const report = leaseReportSchema.safeParse(exchange.body);
    if (exchange.status !== HTTP_OK || !report.success) {
      return {
        kind: StartKind.Unknown,
        reason: `unexpected response with status ${exchange.status}`,
      };
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
    case LeaseState.Expired:
      return {kind: StartKind.LeaseLost};
  }
}
