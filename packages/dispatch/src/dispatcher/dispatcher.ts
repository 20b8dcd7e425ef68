/**
 * Decides for the workers of one zone and service set: which job is refused,
 * which task starts where, and what is stopped. It sends nothing itself: the
 * orders that `tick` returns are carried out by whoever holds the workers, and
 * their answers come back through the other methods.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {
  chooseRetryAfter,
  estimateWait,
  sumCapacity,
} from '../admission/index.js';
import {canEverRun, chooseWorker, expectWorth, Prospects} from '../placement/index.js';
import {AbandonReason, RefusalReason, type Job} from '../work/index.js';
import {
  RunPhase,
  StartAnswer,
  WorkerRecord,
  type Look,
  type Run,
  type Worker,
} from '../workers/index.js';
import {
  abandoned,
  Board,
  type DispatchObserver,
  type EndedJob,
} from './board.js';
import {beginTrial, StrikeReason} from './health.js';
import {findDue, type JobRecord, type TaskRecord} from './job_record.js';
import {nextOverdueAt, takeLook} from './looks.js';
import {orderJobs} from './order.js';
import {leaseOverAt, stopOverAt, type DispatcherOptions} from './options.js';

/** How long a worker that said it is full is not asked again, in ms. */
const FULL_MS = 50;
/** How long after a stop order went out it is sent again, in ms. */
const STOP_AGAIN_MS = 200;
/** How long runs of an earlier holder wait for their jobs, in ms. */
const ADOPTION_MS = 500;
/** A job is refused when the wait leaves less than this of its worth. */
const REFUSE_SHARE = 0.15;
/** Run numbers left out after a worker called one old. */
const RUN_STEP = 8;

/** An order to a worker. */
export type Order =
  | {readonly kind: 'start'; readonly run: Run; readonly payload: string}
  | {
      readonly kind: 'stop';
      readonly workerId: string;
      readonly key: string;
      readonly runNumber: number;
      /** Undefined for a run that this holder did not start. */
      readonly run: Run | undefined;
    };

/** Decides for the workers that one instance holds. */
export class Dispatcher {
  private readonly board: Board;
  private readonly orphanStops = new Map<string, Millis>();

  /** `heldSince` is when this instance became the holder. */
  constructor(
    private readonly options: DispatcherOptions,
    private readonly heldSince: Millis,
    observer: DispatchObserver,
  ) {
    this.board = new Board(observer);
  }

  /** The workers and what runs there. */
  get workers(): ReadonlyMap<string, WorkerRecord> {
    return this.board.workers;
  }

  /** The jobs that have not ended. */
  get jobs(): ReadonlyMap<string, JobRecord> {
    return this.board.jobs;
  }

  /** Jobs that have ended since the last call. */
  takeEnded(): EndedJob[] {
    return this.board.takeEnded();
  }

  /** Takes the present list of workers. */
  setWorkers(list: readonly Worker[], now: Millis): void {
    const listed = new Set(list.map(({id}) => id));
    for (const worker of list) this.setWorker(worker, now);
    for (const [id, record] of this.board.workers) {
      if (listed.has(id)) continue;
      // Its runs end by their leases; the record goes when none is left.
      record.info = {...record.info, isDraining: true};
      if (record.runs.size === 0) this.dropWorker(id);
    }
  }

  /** Takes a job. `isResumed`: another holder may have started some of it. */
  submit(job: Job, isResumed: boolean, now: Millis): void {
    const known = this.board.jobs.get(job.id);
    if (known !== undefined) return;
    const refusal = isResumed ? undefined : this.findRefusal(job, now);
    const record = this.board.addJob(job);
    if (refusal !== undefined) {
      const retryAfterMs = chooseRetryAfter(refusal.waitMs);
      const {reason} = refusal;
      this.board.endJob(record, {kind: 'refused', reason, retryAfterMs}, now);
      return;
    }
    if (!isResumed) return;
    record.hasStarted = true;
    record.notBefore = leaseOverAt(this.heldSince, this.options.leaseMs);
    this.adoptOrphans(record, now);
  }

  /** Gives a job up; it ends once nothing of it runs. */
  cancel(jobId: string, reason: AbandonReason, now: Millis): void {
    const record = this.board.jobs.get(jobId);
    if (record === undefined) return;
    this.giveUp(record, reason, now);
  }

  /** Decides what is due now. */
  tick(now: Millis): Order[] {
    this.board.forgetOld(now);
    this.endOverdueRuns(now);
    this.endOverdueJobs(now);
    const orders: Order[] = [];
    this.place(orders, now);
    this.stop(orders, now);
    return orders;
  }

  /** Notes an order that gives a lease, at the moment it is sent. */
  noteLease(workerId: string, now: Millis): void {
    const worker = this.board.workers.get(workerId);
    if (worker === undefined) return;
    const overAt = leaseOverAt(now, this.options.leaseMs);
    worker.leasesOverAt = Math.max(worker.leasesOverAt, overAt);
  }

  /** Notes the answer to an order to start. */
  startAnswered(run: Run, answer: StartAnswer, now: Millis): void {
    const worker = this.board.workers.get(run.workerId);
    if (run.phase !== RunPhase.Starting && answer !== StartAnswer.Unanswered) {
      if (answer !== StartAnswer.Started)
        this.board.endRun(run, 'refused', now);
      return;
    }
    switch (answer) {
      case StartAnswer.Started:
        run.phase = RunPhase.Running;
        run.confirmedAt = now;
        return;
      case StartAnswer.Unanswered:
      case StartAnswer.NotListening:
        if (run.phase === RunPhase.Starting) run.phase = RunPhase.Stopping;
        this.board.strike(run, StrikeReason.OrderUnanswered, now);
        return;
      case StartAnswer.NoRoom:
        if (worker !== undefined) worker.fullUntil = now + FULL_MS;
        break;
      case StartAnswer.OldRun:
        this.skipRuns(run);
        break;
      case StartAnswer.Unavailable:
        if (worker !== undefined) worker.fullUntil = now + FULL_MS;
        this.board.strike(run, StrikeReason.OrderRefused, now);
        break;
      case StartAnswer.OtherLife:
        if (worker !== undefined) worker.isHeld = false;
        break;
      case StartAnswer.Late:
      case StartAnswer.Rejected:
      case StartAnswer.Fenced:
        break;
    }
    this.board.endRun(run, 'refused', now);
  }

  /** Notes that a worker has taken an order to stop a run. */
  stopTaken(run: Run, now: Millis): void {
    run.phase = RunPhase.StopTaken;
    run.confirmedAt = now;
    run.overAt = stopOverAt(now, this.options.stopMs);
  }

  /** Notes what a worker answered to a look that was sent at `sentAt`. */
  looked(workerId: string, look: Look, sentAt: Millis, now: Millis): void {
    const worker = this.board.workers.get(workerId);
    if (worker !== undefined) takeLook(this.board, worker, look, sentAt, now);
  }

  /** Notes a look that got no answer. */
  lookFailed(workerId: string): void {
    const worker = this.board.workers.get(workerId);
    if (worker !== undefined) worker.isSilent = true;
  }

  /** When a worker should be looked at again because a run is overdue then. */
  overdueAt(workerId: string): Millis {
    const worker = this.board.workers.get(workerId);
    return worker === undefined ? Infinity : nextOverdueAt(worker);
  }

  private setWorker(worker: Worker, now: Millis): void {
    const known = this.board.workers.get(worker.id);
    if (known === undefined) {
      this.board.workers.set(worker.id, new WorkerRecord(worker));
      return;
    }
    if (known.info.bornAt < worker.bornAt) {
      const lost = [...known.runs.values()];
      known.forgetLife();
      for (const run of lost) this.board.endRun(run, 'lost', now);
    }
    known.info = {
      ...worker,
      bornAt: Math.max(known.info.bornAt, worker.bornAt),
    };
  }

  private dropWorker(id: string): void {
    this.board.workers.delete(id);
    this.board.durations.forget(id);
  }

  private findRefusal(
    job: Job,
    now: Millis,
  ): {reason: RefusalReason; waitMs: Millis} | undefined {
    const own = [...this.board.workers.values()].filter(
      ({info}) => info.service === job.service,
    );
    if (own.length === 0) return {reason: RefusalReason.NoWorkers, waitMs: 0};
    const isPossible = job.steps.every(step =>
      own.some(worker => canEverRun(step, worker)),
    );
    if (!isPossible) return {reason: RefusalReason.NoFit, waitMs: 0};
    const expectedMs = this.board.expectJob(job);
    const due = findDue(job, expectedMs);
    const ahead = this.sumWorkAhead(due.dueAt - expectedMs, now);
    const waitMs = estimateWait(ahead, sumCapacity(own, job.service));
    const worthNow = expectWorth(due, expectedMs, now);
    const worthThen = expectWorth(due, expectedMs, now + waitMs);
    // What is long by itself is tried; only the wait is a reason to refuse.
    const isUseless = worthThen < REFUSE_SHARE * worthNow;
    if (!isUseless) return undefined;
    return {reason: RefusalReason.Overloaded, waitMs};
  }

  /** Work of waiting tasks that go before a job to be started by `startBy`. */
  private sumWorkAhead(startBy: Millis, now: Millis): number {
    let work = 0;
    for (const record of this.board.jobs.values()) {
      if (record.ending !== undefined || record.startBy > startBy) continue;
      if (record.startBy < now && !record.hasStarted) continue;
      for (const {state, step} of record.tasks) {
        if (state.kind !== 'waiting') continue;
        const {queue} = record.job;
        const ms = this.board.durations.expect(queue, step.estimateMs);
        work += ms * step.need.cpuMillis;
      }
    }
    return work;
  }

  private adoptOrphans(record: JobRecord, now: Millis): void {
    const prefix = `${record.job.id}.`;
    for (const worker of this.board.workers.values()) {
      for (const [key, run] of [...worker.orphans]) {
        if (!key.startsWith(prefix)) continue;
        if (this.board.adopt(worker, key, run, now)) worker.orphans.delete(key);
      }
    }
  }

  private giveUp(record: JobRecord, reason: AbandonReason, now: Millis): void {
    if (record.hasStarted || reason !== AbandonReason.Deadline) {
      this.board.endJob(record, abandoned(reason), now);
      return;
    }
    this.refuseLate(record, now);
  }

  private refuseLate(record: JobRecord, now: Millis): void {
    const reason = RefusalReason.TooLate;
    const retryAfterMs = chooseRetryAfter(record.expectedMs);
    this.board.endJob(record, {kind: 'refused', reason, retryAfterMs}, now);
  }

  /** Ends runs whose leases or stops are over. */
  private endOverdueRuns(now: Millis): void {
    for (const [id, worker] of this.board.workers) {
      beginTrial(worker, now);
      for (const run of [...worker.runs.values()]) {
        const isLapsed = worker.isSilent && now >= worker.leasesOverAt;
        if (isLapsed || now >= run.overAt) this.board.endRun(run, 'lost', now);
      }
      const isGone = worker.info.isDraining && worker.isSilent;
      if (isGone && worker.runs.size === 0) this.dropWorker(id);
    }
  }

  private endOverdueJobs(now: Millis): void {
    for (const record of [...this.board.jobs.values()]) {
      if (record.ending !== undefined) continue;
      if (now >= record.job.deadlineAt) {
        this.giveUp(record, AbandonReason.Deadline, now);
      } else if (
        !record.hasStarted &&
        now >= record.usefulUntil
      ) {
        this.refuseLate(record, now);
      }
    }
  }

  private place(orders: Order[], now: Millis): void {
    const waiting = [...this.board.jobs.values()].filter(
      record => record.ending === undefined && this.isPlaceable(record, now),
    );
    const prospects = new Prospects(now);
    for (const record of orderJobs(waiting, now)) {
      for (const task of record.ready()) {
        const run = this.placeTask(record, task, prospects, now);
        if (run === undefined) continue;
        const {payload} = record.job;
        orders.push({kind: 'start', run, payload});
      }
    }
  }

  /** Whether all runs of an earlier holder are known, or over. */
  private isPlaceable(record: JobRecord, now: Millis): boolean {
    if (now >= record.notBefore) return true;
    for (const worker of this.board.workers.values()) {
      if (!worker.isHeld || worker.isSilent) return false;
    }
    return true;
  }

  private placeTask(
    record: JobRecord,
    task: TaskRecord,
    prospects: Prospects,
    now: Millis,
  ): Run | undefined {
    const {job} = record;
    const {queue, service} = job;
    const {step, name} = task;
    const worker = chooseWorker(
      {
        queue,
        step,
        due: record,
        countOn: workerId => record.countOn(workerId, name.step),
      },
      this.workersOf(service),
      this.board.durations,
      prospects,
      now,
    );
    if (worker === undefined) return undefined;
    const workerId = worker.info.id;
    const run: Run = {
      task: name,
      key: task.key,
      run: task.lastRun + 1,
      workerId,
      need: step.need,
      startedAt: now,
      expectedMs: this.board.durations.expectOn(
        workerId,
        queue,
        step.estimateMs,
      ),
      phase: RunPhase.Starting,
      confirmedAt: Infinity,
      stopSentAt: -Infinity,
      overAt: Infinity,
    };
    this.board.beginRun(record, task, run);
    return run;
  }

  private *workersOf(service: string): Iterable<WorkerRecord> {
    for (const worker of this.board.workers.values()) {
      if (worker.info.service === service) yield worker;
    }
  }

  private stop(orders: Order[], now: Millis): void {
    for (const [workerId, worker] of this.board.workers) {
      for (const run of worker.runs.values()) {
        const isDue = now - run.stopSentAt >= STOP_AGAIN_MS;
        if (run.phase !== RunPhase.Stopping || !isDue) continue;
        run.stopSentAt = now;
        const {key, run: runNumber} = run;
        orders.push({kind: 'stop', workerId, key, runNumber, run});
      }
      if (now >= this.heldSince + ADOPTION_MS) {
        this.stopOrphans(orders, worker, now);
      }
    }
  }

  private stopOrphans(
    orders: Order[],
    worker: WorkerRecord,
    now: Millis,
  ): void {
    const workerId = worker.info.id;
    for (const [key, runNumber] of worker.orphans) {
      const sentAt = this.orphanStops.get(key) ?? -Infinity;
      if (now - sentAt < STOP_AGAIN_MS) continue;
      this.orphanStops.set(key, now);
      orders.push({kind: 'stop', workerId, key, runNumber, run: undefined});
    }
    if (worker.orphans.size === 0) this.orphanStops.clear();
  }

  private skipRuns(run: Run): void {
    const record = this.board.jobs.get(run.task.jobId);
    const task = record?.tasks.find(({key}) => key === run.key);
    if (task !== undefined) task.lastRun += RUN_STEP;
  }
}
