/**
 * Starts tasks on granted slots and follows each start to its end. A task is
 * started again only on proof that it did not run, or when it is repeatable
 * and the budget allows.
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
  type PlacedTask,
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
import {conclude, ConclusionKind, toGrantEnd} from './conclude.js';
import {Hedges} from './hedges.js';
import type {PoolQueue} from './pool_queue.js';
import {
  RecordState,
  type RunningStart,
  type TaskRecord,
} from './task_record.js';

/** Beyond the deadline, which ends the task first. */
const GRACE_MS = 100;

/** What starts need. */
export interface StartsParts {
  readonly runners: RunnerClient;
  readonly workers: WorkerClient;
  readonly counters: PlacementCounters;
  readonly estimates: RunEstimates;
  readonly learned: LearnedNeeds;
  readonly settingsOf: (pool: string) => EffectiveSettings;
  readonly bindingOf: (pool: string) => Binding;
  readonly onStart: (task: PlacedTask) => void;
  /** Ends a task that has not ended yet. */
  readonly end: (record: TaskRecord, outcome: TaskOutcome, now: Millis) => void;
}

/** The starts of one owner. */
export class Starts {
  private readonly underWay = new Set<RunningStart>();
  private readonly hedges: Hedges;

  constructor(private readonly parts: StartsParts) {
    this.hedges = new Hedges(parts);
  }

  /** Grants in use. */
  get running(): Iterable<RunningStart> {
    return this.underWay;
  }

  /** Starts a task that was taken out of its queue. */
  start(queue: PoolQueue, record: TaskRecord, grant: Grant, now: Millis): void {
    const start = {grant, startedAt: now, controller: new AbortController()};
    const settings = this.parts.settingsOf(queue.pool);
    const isFirst = !record.wasTried;
    record.wasTried = true;
    record.state = RecordState.Started;
    record.starts += 1;
    record.running.add(start);
    this.underWay.add(start);
    if (isFirst) {
      queue.retries.earn(settings.retry.budgetShare);
      queue.hedges.earn(settings.hedge.budgetShare);
      this.parts.onStart(record.task);
    }
    this.hedges.watch(queue, record, start);
    void this.follow(queue, record, start);
  }

  /** Asks all starts of a task that ended to stop. */
  stop(record: TaskRecord): void {
    for (const {controller} of record.running) controller.abort();
  }

  private async follow(
    queue: PoolQueue,
    record: TaskRecord,
    start: RunningStart,
  ): Promise<void> {
    const outcome = await this.send(record, start);
    const now = readClock();
    record.running.delete(start);
    this.underWay.delete(start);
    this.hedges.forget(start);
    this.settle(queue, record, start, outcome, now);
    this.countWaste(outcome);
    if (provesNotRun(outcome)) record.starts -= 1;
    if (record.state !== RecordState.Ended) {
      this.act(queue, record, start, outcome, now);
    }
    this.parts.bindingOf(queue.pool).wake(queue, now);
  }

  private send(record: TaskRecord, start: RunningStart): Promise<StartOutcome> {
    const {task} = record;
    const {grant, controller} = start;
    const server = {name: grant.server, address: grant.address};
    const {job, id, payload, target} = task;
    const timeoutMs = task.deadlineAt - start.startedAt + GRACE_MS;
    this.parts.counters.sent(MessageKind.Start, 1);
    switch (target.kind) {
      case BackendKind.Runner:
        return this.parts.runners.start(
          server,
          {job, task: id, payload},
          timeoutMs,
          controller.signal,
        );
      case BackendKind.Worker:
        return this.parts.workers.start(
          server,
          {job, task: id, needs: target.needs, payload},
          this.parts.settingsOf(record.pool).workers,
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
    const {estimates, learned} = this.parts;
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
    this.parts.bindingOf(pool).settle(ended, now);
  }

  private act(
    queue: PoolQueue,
    record: TaskRecord,
    start: RunningStart,
    outcome: StartOutcome,
    now: Millis,
  ): void {
    const {server} = start.grant;
    const gaveUp = start.controller.signal.aborted;
    const conclusion = conclude(outcome, server, gaveUp);
    switch (conclusion.kind) {
      case ConclusionKind.End:
        return this.parts.end(record, conclusion.outcome, now);
      case ConclusionKind.GivenUp:
        return;
      case ConclusionKind.WaitAgain:
        this.parts.counters.retried(conclusion.reason, queue.pool);
        return this.waitAgain(queue, record, now);
      case ConclusionKind.MayRetry:
        return this.retry(
          queue,
          record,
          conclusion.reason,
          conclusion.failure,
          now,
        );
    }
  }

  private waitAgain(queue: PoolQueue, record: TaskRecord, now: Millis): void {
    // Another start of the same task may still bring its answer.
    if (record.running.size > 0) return;
    record.state = RecordState.Waiting;
    const pauseMs = this.parts.bindingOf(queue.pool).pauseMs();
    if (pauseMs <= 0) return queue.putBack(record, now);
    setTimeout(() => {
      if (record.state !== RecordState.Waiting) return;
      const later = readClock();
      queue.putBack(record, later);
      this.parts.bindingOf(queue.pool).wake(queue, later);
    }, pauseMs);
  }

  private retry(
    queue: PoolQueue,
    record: TaskRecord,
    reason: RetryReason,
    failure: Failure,
    now: Millis,
  ): void {
    if (record.running.size > 0 || record.place?.inLine === true) return;
    const {maxStarts} = this.parts.settingsOf(queue.pool).retry;
    const {repeatable} = record.task;
    if (!repeatable || record.starts >= maxStarts) {
      return this.fail(record, failure, now);
    }
    if (!queue.retries.spend()) {
      const spent = createFailure(FailureCode.RetryBudgetSpent, {
        service: queue.pool,
      });
      return this.fail(record, spent, now);
    }
    this.parts.counters.retried(reason, queue.pool);
    this.waitAgain(queue, record, now);
  }

  private fail(record: TaskRecord, failure: Failure, now: Millis): void {
    this.parts.end(record, {kind: OutcomeKind.Failed, failure}, now);
  }

  private countWaste(outcome: StartOutcome): void {
    const {counters} = this.parts;
    if (outcome.kind === StartKind.Busy) {
      counters.wasted(WasteKind.BusyStart, 1);
    } else if (outcome.kind === StartKind.Leaving) {
      counters.wasted(WasteKind.LeavingStart, 1);
    } else if (outcome.kind === StartKind.Refused) {
      counters.wasted(WasteKind.RefusedStart, 1);
    }
  }
}
