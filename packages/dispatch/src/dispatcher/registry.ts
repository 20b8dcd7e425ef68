/**
 * State of one holder: its jobs, workers and runs, and the transitions between
 * their states. The dispatcher decides when a transition takes place.
 */
import {DrainRate} from '@goldcrestpier/limits';
import type {Millis} from '@goldcrestpier/runtime';
import {
  chooseRetryAfter,
  HeldWork,
  ReturnSchedule,
} from '../admission/index.js';
import {CrashVerdict} from '../crashes/index.js';
import {RemoteRuns} from '../remote_runs/index.js';
import {RunTimes} from '../run_times/index.js';
import type {TaskHistory} from '../task_history/index.js';
import {ProgressTrust, RecentRuns} from '../work_estimates/index.js';
import {
  AbandonReason,
  createAbandoned,
  findLongestChain,
  type RefusalReason,
  type Job,
  type Outcome,
} from '../work/index.js';
import {
  RunEnd,
  isCrashLoss,
  RunPhase,
  type Run,
  type RunConclusion,
  type WorkerRecord,
} from '../workers/index.js';
import {
  adoptOrphansOf,
  InboundTasks,
  DelegationSurvey,
} from './intake/index.js';
import {
  CrashRecorder,
  StrikeReason,
  StrikeRecorder,
  addSuccess,
  learnFromRun,
} from './worker_state/index.js';
import {JobRecord, type EndedJob, type TaskRecord} from './jobs/index.js';
import {Evacuation} from './evacuation/index.js';
import type {DispatchObserver} from './observer.js';
import {RunEnds, type SoleHolder} from './ending/index.js';
import {RunNumbers} from './starts/index.js';

/** Jobs, workers and runs that one holder knows. */
export class Registry {
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, WorkerRecord>();
  readonly runTimes = new RunTimes();
  /** Runs that can't end before the deadlines of their jobs by their progress. */
  readonly overlongRuns = new Set<Run>();
  readonly progressTrust = new ProgressTrust();
  readonly recentRuns = new RecentRuns();
  /** Runs in other zones that may go on. */
  readonly delegatedRuns = new Set<Run>();
  /** Tasks that other zones have delegated to this one. */
  readonly inboundTasks = new InboundTasks();
  /** Whether the list of workers is up to date. */
  isListConfirmed = false;
  /** When a worker first answered this holder, and so accepted its token. */
  firstReportAt: Millis | undefined;
  /**
   * Whether a job, a worker or free capacity has changed since the waiting
   * tasks were last placed.
   */
  isPlacementDue = true;
  /** Whether tasks with capacity wait until workers have answered starts. */
  hasStartBacklog = false;
  /** The jobs that are kept, in number and bytes. */
  readonly heldWork = new HeldWork();
  /** When refused callers are told to return. */
  readonly returns = new ReturnSchedule();
  /** The rate at which tasks are started while others wait for it. */
  readonly startRate = new DrainRate();
  private endedJobs: EndedJob[] = [];
  /** Run numbers of jobs that have ended. */
  readonly runNumbers = new RunNumbers();
  /** Whether any run is to be stopped, or ends by a known time. */
  readonly runEnds = new RunEnds();
  /** Runs that an earlier holder delegated to other zones. */
  readonly delegationSurvey = new DelegationSurvey();
  /** When late leases on workers that were removed have expired, by their ID. */
  readonly lateLeases = new Map<string, Millis>();
  /** Jobs that other zones may still run. */
  readonly remoteRuns = new RemoteRuns();
  readonly evacuation = new Evacuation();
  readonly crashRecorder: CrashRecorder;
  readonly strikeRecorder: StrikeRecorder;

  constructor(
    readonly observer: DispatchObserver,
    readonly history: TaskHistory,
    readonly soleHolder: SoleHolder,
  ) {
    this.crashRecorder = new CrashRecorder(history.crashes, observer);
    this.strikeRecorder = new StrikeRecorder(this.workers, observer);
  }

  /** Adds a job; its run numbers continue those of an earlier submission. */
  addJob(job: Job, now: Millis): JobRecord {
    const expectedMs = this.predictJob(job);
    const lastRun = this.runNumbers.findLast(job.id, now);
    const tail = this.runTimes.getTail(job.queue);
    const record = new JobRecord(job, expectedMs, lastRun, tail);
    record.mayHaveUnknownRuns = this.runNumbers.mayHaveUnknownRuns(job.id, now);
    this.jobs.set(job.id, record);
    this.heldWork.add(record.size);
    this.isPlacementDue = true;
    this.inboundTasks.add(record);
    return record;
  }

  /** Expected time of a job's longest chain of steps at typical speed. */
  predictJob(job: Job): Millis {
    return findLongestChain(job.steps, ({estimateMs}) =>
      this.runTimes.predict(job.queue, estimateMs),
    );
  }

  /** Assigns a run to its worker. */
  beginRun(record: JobRecord, task: TaskRecord, run: Run): void {
    record.setState(task, {kind: 'running', run});
    task.lastRun = Math.max(task.lastRun, run.number);
    record.hasStarted = true;
    if (run.delegatedTo !== undefined) this.delegatedRuns.add(run);
    const worker = this.workers.get(run.workerId);
    if (worker === undefined) return;
    run.workerBornAt = worker.info.bornAt;
    run.isIsolated =
      this.history.crashes.judge(run.key) !== CrashVerdict.Harmless;
    worker.addRun(run);
  }

  /** Ends a run that has finished or can certainly never start. */
  endRun(run: Run, end: RunConclusion, now: Millis): void {
    const worker = this.workers.get(run.workerId);
    if (worker?.runs.get(run.key) === run) worker.removeRun(run.key);
    this.delegatedRuns.delete(run);
    if (end === 'refused' && run.delegatedTo !== undefined)
      this.evacuation.recordRefusal(run.recordId, run.delegatedTo, now);
    this.overlongRuns.delete(run);
    this.isPlacementDue = true;
    const tookMs = now - run.startedAt;
    this.observer.runEnded(run, end, tookMs);
    if (isCrashLoss(end)) this.crashRecorder.record(run, now);
    const record = this.jobs.get(run.recordId);
    const task = record?.findTask(run.key);
    if (record === undefined || task === undefined) return;
    if (task.state.kind !== 'running' || task.state.run !== run) return;
    record.setState(task, {kind: 'waiting'});
    // A zone starts a delegated run once, so no other run has its number.
    if (run.number === record.job.delegated?.run)
      record.mayHaveUnknownRuns = false;
    if (end === RunEnd.Done) this.recordSuccess(record, task, run, now);
    else if (end === RunEnd.Failed) this.recordFailure(record, task, run, now);
    else if (record.isInbound)
      record.pendingOutcome ??= createAbandoned(AbandonReason.RunLost);
    this.finishIfPossible(record, now);
    // Another run of the task may have been found in the meantime.
    if (end !== RunEnd.Done) adoptOrphansOf(this, record, task, now);
  }

  /** Ends a job with `outcome` once none of its tasks runs any more. */
  endJob(record: JobRecord, outcome: Outcome, now: Millis): void {
    record.pendingOutcome ??= outcome;
    for (const run of record.runs()) {
      if (run.phase === RunPhase.Stopping) continue;
      if (run.phase === RunPhase.StopAccepted) continue;
      this.runEnds.stop(run);
    }
    this.finishIfPossible(record, now);
  }

  /** Refuses a job that never started; `waitMs` is the wait ahead of it. */
  refuse(
    record: JobRecord,
    reason: RefusalReason,
    waitMs: Millis,
    now: Millis,
    retryAfterMs = chooseRetryAfter(waitMs),
  ): void {
    this.observer.jobRefused(record, reason, {waitMs, retryAfterMs}, now);
    this.endJob(record, {kind: 'refused', reason, retryAfterMs}, now);
  }

  /** Ends a job on arrival, of which nothing runs. */
  endOnArrival({id, queue}: Job, outcome: Outcome, hasStarted: boolean): void {
    this.endedJobs.push({id, queue, outcome, hasStarted});
  }

  /** Returns the jobs that have ended since the last call. */
  takeEndedJobs(): EndedJob[] {
    const {endedJobs} = this;
    this.endedJobs = [];
    return endedJobs;
  }

  /** Expected run time of a task on a worker of typical speed. */
  predictTask({job}: JobRecord, {step}: TaskRecord): Millis {
    return this.runTimes.predict(job.queue, step.estimateMs);
  }

  /** Skips run numbers of a task after a worker rejected one as stale. */
  skipRunNumbers(run: Run, count: number): void {
    const task = this.jobs.get(run.recordId)?.findTask(run.key);
    if (task !== undefined) task.lastRun += count;
  }

  /** Iterates over the workers of one service. */
  *iterateWorkers(service: string): Iterable<WorkerRecord> {
    for (const worker of this.workers.values()) {
      if (worker.info.service === service) yield worker;
    }
  }

  /** Whether a worker of the service has neither answered nor missed a poll. */
  hasUnpolledWorkersFor(service: string): boolean {
    return [...this.iterateWorkers(service)].some(
      ({isUnpolled, info}) => isUnpolled && !info.isDraining,
    );
  }

  /** Whether any worker has neither answered nor missed a poll. */
  get hasUnpolledWorkers(): boolean {
    return [...this.workers.values()].some(({isUnpolled}) => isUnpolled);
  }

  /** Whether any worker may obey an earlier holder, as it has no later token. */
  get hasUnfencedWorkers(): boolean {
    return [...this.workers.values()].some(
      ({hasAcceptedToken}) => !hasAcceptedToken,
    );
  }

  /** Removes a worker that is gone. */
  removeWorker(id: string): void {
    const worker = this.workers.get(id);
    if (worker !== undefined) this.lateLeases.set(id, worker.lateLeasesEndAt);
    this.workers.delete(id);
    this.runTimes.forget(id);
    this.recentRuns.forget(id);
  }

  private recordSuccess(
    record: JobRecord,
    task: TaskRecord,
    run: Run,
    now: Millis,
  ): void {
    record.setState(task, {kind: 'done'});
    // The time includes the transfer between zones, so that it does not show
    // the worker's speed.
    if (run.delegatedTo !== undefined) return;
    learnFromRun(this, record, task, run, now);
    const worker = this.workers.get(run.workerId);
    if (worker !== undefined) addSuccess(worker);
  }

  private recordFailure(
    record: JobRecord,
    task: TaskRecord,
    run: Run,
    now: Millis,
  ): void {
    task.failures += 1;
    this.strikeRecorder.record(run, StrikeReason.TaskFailed, now);
    if (task.failures < record.job.maxAttempts) return;
    this.endJob(record, {kind: 'failed'}, now);
  }

  /** Ends a job that is done, or that is ending and has no run left. */
  finishIfPossible(record: JobRecord, now: Millis): void {
    if (record.isDone) record.pendingOutcome = {kind: 'completed'};
    if (record.pendingOutcome === undefined) return;
    if (record.mayStillRun) return;
    const {id, job} = record;
    const {queue} = job;
    if (this.jobs.get(id) !== record) return;
    this.jobs.delete(id);
    this.heldWork.remove(record.size);
    this.inboundTasks.remove(record);
    this.runNumbers.retain(record, now);
    const {pendingOutcome: outcome, hasStarted} = record;
    this.endedJobs.push({id, queue, outcome, hasStarted});
  }
}
