/**
 * Jobs, workers and runs of one holder, and the steps that change them. What
 * is decided when stands in the dispatcher; here a run begins or ends.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {chooseRetryAfter} from '../admission/index.js';
import {Durations} from '../speeds/index.js';
import {
  AbandonReason,
  type RefusalReason,
  type Job,
  type Outcome,
} from '../work/index.js';
import {
  RunEnd,
  RunPhase,
  type Run,
  type WorkerRecord,
} from '../workers/index.js';
import {adoptOrphans} from './adoption.js';
import {addGoodEnd, addStrike, StrikeReason} from './health.js';
import {ForeignRecords} from './foreign_records.js';
import {JobRecord, type TaskRecord} from './job_record.js';
import {LentSurvey} from './lent_survey.js';
import {RunNumbers} from './run_numbers.js';

/** A job that has ended, to be told to whoever handed it in. */
export interface EndedJob {
  readonly id: string;
  readonly queue: string;
  readonly outcome: Outcome;
  readonly hasStarted: boolean;
}

/** Told of what changes, for logs and counters. */
export interface DispatchObserver {
  runEnded(run: Run, end: RunEnd | 'lost' | 'refused', tookMs: Millis): void;
  workerStruck(workerId: string, reason: StrikeReason, ejected: boolean): void;
  /** `waitMs` is when the work before the job has drained. */
  jobRefused(
    record: JobRecord,
    reason: RefusalReason,
    waitMs: Millis,
    now: Millis,
  ): void;
}

/** The present state of one holder's work. */
export class Board {
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, WorkerRecord>();
  readonly durations = new Durations();
  /** Tasks that other zones have lent to this one. */
  readonly foreignRecords = new ForeignRecords();
  /** Whether the list of workers is as new as it can be had. */
  isListConfirmed = false;
  /** When a worker first showed that it follows this holder. */
  followedSince: Millis | undefined;
  private ended: EndedJob[] = [];
  private readonly runNumbers = new RunNumbers();
  /** What other zones run for this one since an earlier holder. */
  readonly survey = new LentSurvey();
  private readonly lastStruckJob = new Map<string, string>();

  constructor(private readonly observer: DispatchObserver) {}

  /** Takes up a job; its run numbers go on where an earlier life ended. */
  addJob(job: Job): JobRecord {
    const expectedMs = this.expectJob(job);
    const lastRun = this.runNumbers.lastOf(job.id);
    const record = new JobRecord(job, expectedMs, lastRun);
    record.mayRunUnseen = this.runNumbers.mayRunUnseen(job.id);
    this.jobs.set(job.id, record);
    this.foreignRecords.add(record);
    return record;
  }

  /** The longest chain of steps on ordinary workers. */
  expectJob(job: Job): Millis {
    const ends: Millis[] = [];
    for (const {after, estimateMs} of job.steps) {
      const before = after.map(index => ends[index] ?? 0);
      const start = Math.max(0, ...before);
      ends.push(start + this.durations.expect(job.queue, estimateMs));
    }
    return Math.max(0, ...ends);
  }

  /** Puts a run on a worker. */
  beginRun(record: JobRecord, task: TaskRecord, run: Run): void {
    task.state = {kind: 'running', run};
    task.lastRun = Math.max(task.lastRun, run.run);
    record.hasStarted = true;
    this.workers.get(run.workerId)?.addRun(run);
  }

  /** A run has ended, or is proved never to start again. */
  endRun(run: Run, end: RunEnd | 'lost' | 'refused', now: Millis): void {
    const worker = this.workers.get(run.workerId);
    if (worker?.runs.get(run.key) === run) worker.removeRun(run.key);
    const tookMs = now - run.startedAt;
    this.observer.runEnded(run, end, tookMs);
    const record = this.jobs.get(run.recordId);
    const task = record?.findTask(run.key);
    if (record === undefined || task === undefined) return;
    if (task.state.kind !== 'running' || task.state.run !== run) return;
    task.state = {kind: 'waiting'};
    if (end === RunEnd.Done) this.noteDone(record, task, run, tookMs);
    else if (end === RunEnd.Failed) this.noteFailed(record, task, run, now);
    else if (record.isForeign)
      record.ending ??= abandoned(AbandonReason.RunLost);
    this.settle(record, now);
    // Another run of the task may have been found meanwhile.
    if (end !== RunEnd.Done) adoptOrphans(this, record, now);
  }

  /** Ends a job with `outcome` as soon as nothing of it runs. */
  endJob(record: JobRecord, outcome: Outcome, now: Millis): void {
    record.ending ??= outcome;
    for (const run of record.runs()) {
      if (run.phase === RunPhase.Stopping) continue;
      if (run.phase === RunPhase.StopTaken) continue;
      run.phase = RunPhase.Stopping;
    }
    this.settle(record, now);
  }

  /** Refuses a job that never started; `waitMs` is why it would not end. */
  refuse(
    record: JobRecord,
    reason: RefusalReason,
    waitMs: Millis,
    now: Millis,
  ): void {
    this.observer.jobRefused(record, reason, waitMs, now);
    const retryAfterMs = chooseRetryAfter(waitMs);
    this.endJob(record, {kind: 'refused', reason, retryAfterMs}, now);
  }

  /** Gives a worker a strike, once for each job in a row. */
  strike(run: Run, reason: StrikeReason, now: Millis): void {
    const worker = this.workers.get(run.workerId);
    if (worker === undefined) return;
    // The tasks of one job that can never be done fail together.
    if (this.lastStruckJob.get(run.workerId) === run.recordId) return;
    this.lastStruckJob.set(run.workerId, run.recordId);
    const isEjected = addStrike(worker, this.workers, now);
    this.observer.workerStruck(run.workerId, reason, isEjected);
  }

  /** Jobs that have ended since the last call. */
  takeEnded(): EndedJob[] {
    const {ended} = this;
    this.ended = [];
    return ended;
  }

  /** Forgets run numbers whose time is over. */
  forgetOld(now: Millis): void {
    this.runNumbers.forgetOld(now);
  }

  /** Expected run time of a task on a worker of ordinary speed. */
  expectTask({job}: JobRecord, {step}: TaskRecord): Millis {
    return this.durations.expect(job.queue, step.estimateMs);
  }

  /** Leaves out run numbers after a worker called one old. */
  skipRuns(run: Run, count: number): void {
    const task = this.jobs.get(run.recordId)?.findTask(run.key);
    if (task !== undefined) task.lastRun += count;
  }

  /** Workers of one service. */
  *workersOf(service: string): Iterable<WorkerRecord> {
    for (const worker of this.workers.values()) {
      if (worker.info.service === service) yield worker;
    }
  }

  /** Whether a worker of the service was not looked at since it came. */
  hasUnseenWorkers(service: string): boolean {
    for (const {info, isHeld, isSilent} of this.workersOf(service)) {
      if (!isHeld && !isSilent && !info.isDraining) return true;
    }
    return false;
  }

  /** Whether a worker was neither looked at yet nor found silent. */
  get areWorkersUnseen(): boolean {
    for (const {isHeld, isSilent} of this.workers.values()) {
      if (!isHeld && !isSilent) return true;
    }
    return false;
  }

  /** Forgets a worker that is gone. */
  dropWorker(id: string): void {
    this.workers.delete(id);
    this.durations.forget(id);
  }

  private noteDone(
    {job}: JobRecord,
    task: TaskRecord,
    run: Run,
    tookMs: Millis,
  ): void {
    task.state = {kind: 'done'};
    const {estimateMs} = task.step;
    // The way to another zone says nothing of the speed there.
    if (run.lentTo !== undefined) return;
    this.durations.learn(run.workerId, job.queue, estimateMs, tookMs);
    const worker = this.workers.get(run.workerId);
    if (worker !== undefined) addGoodEnd(worker);
  }

  private noteFailed(
    record: JobRecord,
    task: TaskRecord,
    run: Run,
    now: Millis,
  ): void {
    task.failures += 1;
    this.strike(run, StrikeReason.TaskFailed, now);
    if (task.failures < record.job.maxAttempts) return;
    this.endJob(record, {kind: 'failed'}, now);
  }

  /** Ends a job of which all is done, or nothing runs any more. */
  settle(record: JobRecord, now: Millis): void {
    if (record.isDone) record.ending = {kind: 'completed'};
    if (record.ending === undefined) return;
    if (record.isRunning) return;
    const {id, job} = record;
    const {queue} = job;
    if (this.jobs.get(id) !== record) return;
    this.jobs.delete(id);
    this.foreignRecords.remove(record);
    this.runNumbers.remember(record, now);
    const {ending: outcome, hasStarted} = record;
    this.ended.push({id, queue, outcome, hasStarted});
  }
}

/** The outcome of a job that was given up. */
export function abandoned(reason: AbandonReason): Outcome {
  return {kind: 'abandoned', reason};
}
