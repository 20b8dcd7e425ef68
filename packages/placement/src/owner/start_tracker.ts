/**
 * Starts tasks on granted slots and tracks each start until it ends. A task is
 * started again only if it provably did not run, or if it is repeatable and
 * the retry budget allows it.
 */
import {
  provesNotRun,
  StartKind,
  type RunnerClient,
  type StartOutcome,
  type WorkerClient,
} from '@goldcrestpier/backends';
import type {Grant} from '@goldcrestpier/peers';
import {
  BackendKind,
  createFailure,
  FailureCode,
  OutcomeKind,
  type Failure,
  type PlacementTask,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import type {EffectiveSettings} from '@goldcrestpier/settings';
import {
  MessageKind,
  RetryReason,
  WasteKind,
  type PlacementCounters,
} from '../counters.js';
import type {LearnedNeeds} from '../fit/index.js';
import type {RunEstimates} from '../speeds/index.js';
import {kindOf} from '../view.js';
import type {Binding} from './binding.js';
import {
  decideAfterStart,
  StartDecisionKind,
  toGrantEnd,
} from './start_decision.js';
import {HedgeTimers} from './hedge_timers.js';
import type {PoolQueue} from './pool_queue.js';
import {
  RecordState,
  type RunningStart,
  type TaskRecord,
} from './task_record.js';

/** Added to the request timeout, so that the deadline ends the task first. */
const TIMEOUT_GRACE_MS = 100;

/** Options of `StartTracker`. */
export interface StartTrackerOptions {
  readonly runners: RunnerClient;
  readonly workers: WorkerClient;
  readonly counters: PlacementCounters;
  readonly estimates: RunEstimates;
  readonly learned: LearnedNeeds;
  readonly settingsOf: (pool: string) => EffectiveSettings;
  readonly bindingOf: (pool: string) => Binding;
  readonly onStart: (task: PlacementTask) => void;
  /** Ends a task; no effect if it has already ended. */
  readonly end: (record: TaskRecord, outcome: TaskOutcome, now: Millis) => void;
}

/** Performs and tracks the starts of one owner. */
export class StartTracker {
  private readonly inFlight = new Set<RunningStart>();
  private readonly hedgeTimers: HedgeTimers;

  constructor(private readonly options: StartTrackerOptions) {
    this.hedgeTimers = new HedgeTimers(options);
  }

  /** Starts in flight, whose grants are in use. */
  get running(): Iterable<RunningStart> {
    return this.inFlight;
  }

  /** Starts a task that was taken from its queue. */
  start(queue: PoolQueue, record: TaskRecord, grant: Grant, now: Millis): void {
    const start = {grant, startedAt: now, controller: new AbortController()};
    const settings = this.options.settingsOf(queue.pool);
    const isFirst = !record.wasTried;
    record.wasTried = true;
    record.state = RecordState.Started;
    record.starts += 1;
    record.running.add(start);
    this.inFlight.add(start);
    if (isFirst) {
      queue.retryBudget.deposit(settings.retry.budgetShare);
      queue.hedgeBudget.deposit(settings.hedge.budgetShare);
      this.options.onStart(record.task);
    }
    this.hedgeTimers.watch(queue, record, start);
    void this.trackStart(queue, record, start);
  }

  /** Aborts all starts of a task that ended. */
  stop(record: TaskRecord): void {
    for (const {controller} of record.running) controller.abort();
  }

  private async trackStart(
    queue: PoolQueue,
    record: TaskRecord,
    start: RunningStart,
  ): Promise<void> {
    const outcome = await this.send(record, start);
    const now = readClock();
    record.running.delete(start);
    this.inFlight.delete(start);
    this.hedgeTimers.forget(start);
    this.settle(queue, record, start, outcome, now);
    this.countWastedStart(outcome);
    if (provesNotRun(outcome)) record.starts -= 1;
    if (record.state !== RecordState.Ended) {
      this.applyDecision(queue, record, start, outcome, now);
    }
    this.options.bindingOf(queue.pool).onQueueChange(queue, now);
  }

  private send(record: TaskRecord, start: RunningStart): Promise<StartOutcome> {
    const {task} = record;
    const {grant, controller} = start;
    const server = {name: grant.server, address: grant.address};
    const {job, id, payload, target} = task;
    const timeoutMs = task.deadlineAt - start.startedAt + TIMEOUT_GRACE_MS;
    this.options.counters.sent(MessageKind.Start, 1);
    switch (target.kind) {
      case BackendKind.Runner:
        return this.options.runners.start(
          server,
          {job, task: id, payload},
          timeoutMs,
          controller.signal,
        );
      case BackendKind.Worker:
        return this.options.workers.start(
          server,
          {job, task: id, needs: target.needs, payload},
          this.options.settingsOf(record.pool).workers,
          timeoutMs,
          controller.signal,
        );
    }
  }

  private settle(
    queue: PoolQueue,
    {task, pool}: TaskRecord,
    {grant, startedAt}: RunningStart,
    outcome: StartOutcome,
    now: Millis,
  ): void {
    const {estimates, learned} = this.options;
    const kind = kindOf(task);
    const expectedMs = estimates.expectedMs(kind, task.declaredMs);
    const end = toGrantEnd(outcome, now - startedAt, expectedMs);
    const runMs = 'runMs' in outcome ? outcome.runMs : undefined;
    if (outcome.kind === StartKind.Done) {
      estimates.record(kind, task.declaredMs, outcome.runMs);
      queue.recordRun(outcome.runMs);
      const {usage} = outcome;
      if (usage !== undefined) {
        learned.record(kind, usage.processors, usage.memoryMb);
      }
    }
    const ended = {grant, end, runMs, expectedMs};
    this.options.bindingOf(pool).settle(ended, now);
  }

  private applyDecision(
    queue: PoolQueue,
    record: TaskRecord,
    start: RunningStart,
    outcome: StartOutcome,
    now: Millis,
  ): void {
    const {server} = start.grant;
    const wasAborted = start.controller.signal.aborted;
    const decision = decideAfterStart(outcome, server, wasAborted);
    switch (decision.kind) {
      case StartDecisionKind.End:
        return this.options.end(record, decision.outcome, now);
      case StartDecisionKind.Aborted:
        return;
      case StartDecisionKind.Requeue:
        this.options.counters.retried(decision.reason, queue.pool);
        return this.requeue(queue, record, now);
      case StartDecisionKind.MayRetry:
        return this.retry(
          queue,
          record,
          decision.reason,
          decision.failure,
          now,
        );
    }
  }

  private requeue(queue: PoolQueue, record: TaskRecord, now: Millis): void {
    // Another start of the same task may still deliver its answer.
    if (record.running.size > 0) return;
    record.state = RecordState.Waiting;
    const delayMs = this.options.bindingOf(queue.pool).retryDelayMs();
    if (delayMs <= 0) return queue.putBack(record, now);
    setTimeout(() => {
      if (record.state !== RecordState.Waiting) return;
      const later = readClock();
      queue.putBack(record, later);
      this.options.bindingOf(queue.pool).onQueueChange(queue, later);
    }, delayMs);
  }

  private retry(
    queue: PoolQueue,
    record: TaskRecord,
    reason: RetryReason,
    failure: Failure,
    now: Millis,
  ): void {
    if (record.running.size > 0 || record.place?.isQueued === true) return;
    const {maxStarts} = this.options.settingsOf(queue.pool).retry;
    const {repeatable} = record.task;
    if (!repeatable || record.starts >= maxStarts) {
      return this.fail(record, failure, now);
    }
    if (!queue.retryBudget.withdraw()) {
      const budgetFailure = createFailure(FailureCode.RetryBudgetSpent, {
        service: queue.pool,
      });
      return this.fail(record, budgetFailure, now);
    }
    this.options.counters.retried(reason, queue.pool);
    this.requeue(queue, record, now);
  }

  private fail(record: TaskRecord, failure: Failure, now: Millis): void {
    this.options.end(record, {kind: OutcomeKind.Failed, failure}, now);
  }

  private countWastedStart(outcome: StartOutcome): void {
    const {counters} = this.options;
    if (outcome.kind === StartKind.Busy) {
      counters.wasted(WasteKind.BusyStart, 1);
    } else if (outcome.kind === StartKind.Leaving) {
      counters.wasted(WasteKind.LeavingStart, 1);
    } else if (outcome.kind === StartKind.Refused) {
      counters.wasted(WasteKind.RefusedStart, 1);
    }
  }
}
