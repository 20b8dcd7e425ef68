/**
 * Schedules the tasks of one zone: which jobs are refused, which task starts on
 * which worker, and which runs are stopped. It does no I/O. The holder executes
 * the commands of `tick` and passes the workers' answers to the `handle...` methods.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {
  RemoteVacancies,
  type Vacancy,
  type ZoneVacancies,
} from '../remote_vacancies/index.js';
import type {AbandonedJobReport} from '../remote_runs/index.js';
import {TaskHistory} from '../task_history/index.js';
import type {AbandonReason, Job, JobProgress} from '../work/index.js';
import {
  RunEnd,
  type StartAnswer,
  type WorkerRecord,
  type WorkerReport,
  type Run,
  type Worker,
  type WorkerRequestFailure,
} from '../workers/index.js';
import {
  findAbandonedJobs,
  AnswerableJobs,
  type EndedJob,
  type JobRecord,
  describeProgress,
} from './jobs/index.js';
import type {Evacuation} from './evacuation/index.js';
import type {DispatchObserver} from './observer.js';
import {Registry} from './registry.js';
import {
  Intake,
  mayRunElsewhere,
  type DelegationReport,
  type DelegationSurvey,
  EarlierRuns,
} from './intake/index.js';
import {
  applyPollAnswer,
  applyPollFailure,
  recordLease,
  applyWorkerList,
} from './worker_state/index.js';
import type {DispatcherOptions} from './options.js';
import type {Command} from './commands.js';
import {
  applyStartAnswer,
  applyStopAccepted,
  isStartWanted,
  loseDelegatedRun,
  recordOutstandingStarts,
  recordUnansweredStart,
} from './starts/index.js';
import {endOverdue, abandonJob, SoleHolder, Stopper} from './ending/index.js';
import {Placer, listVacancies} from './placing/index.js';

/** Schedules tasks on the workers of one zone, on behalf of its holder. */
export class Dispatcher {
  /** Until when no other instance can be the holder. */
  readonly soleHolder: SoleHolder;
  /** Whether nothing may start on the workers of this zone. */
  readonly evacuation: Evacuation;
  private readonly registry: Registry;
  private readonly remoteVacancies = new RemoteVacancies();
  private readonly earlierRuns: EarlierRuns;
  private readonly placer: Placer;
  private readonly intake: Intake;
  private readonly stopper: Stopper;
  private readonly answerableJobs: AnswerableJobs;

  /**
   * `heldSince` is the time at which this instance became the holder; `history`
   * is what the instance knows of tasks.
   */
  constructor(
    private readonly options: DispatcherOptions,
    heldSince: Millis,
    observer: DispatchObserver,
    history = new TaskHistory(),
  ) {
    this.soleHolder = new SoleHolder(options.leaseMs);
    this.registry = new Registry(observer, history, this.soleHolder);
    this.evacuation = this.registry.evacuation;
    this.earlierRuns = new EarlierRuns(this.registry, options.leaseMs);
    const {registry, remoteVacancies, earlierRuns} = this;
    this.placer = new Placer(registry, remoteVacancies, earlierRuns, options);
    this.intake = new Intake(registry, this.placer, options.leaseMs);
    this.stopper = new Stopper(registry, heldSince, options.unclaimedSince);
    this.answerableJobs = new AnswerableJobs(this.registry);
  }

  /** The known workers and their runs, by worker ID. */
  get workers(): ReadonlyMap<string, WorkerRecord> {
    return this.registry.workers;
  }

  /** The jobs that have not ended, by job ID. */
  get jobs(): ReadonlyMap<string, JobRecord> {
    return this.registry.jobs;
  }

  /** Returns the jobs that have ended since the last call. */
  takeEndedJobs(): EndedJob[] {
    return this.registry.takeEndedJobs();
  }

  /** Returns jobs to be answered now whose start may still come late. */
  takeAnswerableJobs(): EndedJob[] {
    return this.answerableJobs.take();
  }

  /** Replaces the list of workers with the current one. */
  setWorkers(list: readonly Worker[], now: Millis): void {
    applyWorkerList(this.registry, list, now);
  }

  /** Marks the list of workers as up to date, so that tasks may be placed. */
  confirmWorkerList(): void {
    this.registry.isListConfirmed = true;
    this.registry.isPlacementDue = true;
  }

  /**
   * Accepts a job. `isResumed` means that an earlier holder may have started
   * it; `progress` is what that holder reported about it, if anything.
   */
  submit(
    job: Job,
    isResumed: boolean,
    now: Millis,
    progress?: JobProgress,
  ): void {
    this.intake.submit(job, {isResumed, progress}, now);
  }

  /** What other zones have listed that they run for this one. */
  get delegationSurvey(): DelegationSurvey {
    return this.registry.delegationSurvey;
  }

  /** Whether each listed worker has answered a poll, or left one unanswered. */
  get hasPolledWorkers(): boolean {
    return !this.registry.hasUnpolledWorkers;
  }

  /** Whether every run that an earlier holder started has certainly ended. */
  haveEarlierRunsEnded(now: Millis): boolean {
    return this.earlierRuns.haveEnded(now);
  }

  /** Describes the state of a job for the next holder. */
  describeProgress(recordId: string, now: Millis): JobProgress | undefined {
    const record = this.jobs.get(recordId);
    if (record === undefined) return undefined;
    const isComplete = this.earlierRuns.areAllKnown(record, now);
    return describeProgress(record, isComplete, now);
  }

  /** Resumes a delegated task that an earlier holder of this zone started. */
  resumeDelegated(job: Job, now: Millis, progress?: JobProgress): void {
    this.intake.resumeDelegated(job, progress, now);
  }

  /** Accepts a task from another zone; it starts now or is refused. */
  acceptDelegated(job: Job, now: Millis): Command[] {
    return this.intake.acceptDelegated(job, now);
  }

  /**
   * Abandons a job, which ends once none of its tasks runs any more. Of a job
   * that is not known here, the runs that an earlier holder left are stopped.
   */
  cancel(recordId: string, reason: AbandonReason, now: Millis): void {
    const record = this.registry.jobs.get(recordId);
    if (record) abandonJob(this.registry, record, reason, now);
    else this.stopper.disown(recordId, now);
  }

  /** Returns the commands that are due now. */
  tick(now: Millis): Command[] {
    this.registry.history.removeExpired(now);
    endOverdue(this.registry, this.earlierRuns, now);
    this.answerableJobs.update(this.registry.jobs.values(), now);
    const delegations = this.intake.takeCommands();
    const starts = this.placer.placeIfDue(now);
    return [...delegations, ...starts, ...this.stopper.stop(now)];
  }

  /** Lease for a worker's runs, in ms; undefined when none should go on. */
  chooseLease(workerId: string, now: Millis): Millis | undefined {
    const worker = this.registry.workers.get(workerId);
    if (worker === undefined) return undefined;
    return this.stopper.chooseLease(worker, this.options.leaseMs, now);
  }

  /** Records that a command that grants a lease is being sent. */
  recordLease(workerId: string, now: Millis): void {
    const worker = this.registry.workers.get(workerId);
    if (worker !== undefined) recordLease(worker, this.options, now);
  }

  /** Handles the answer to a start command. */
  handleStartAnswer(run: Run, answer: StartAnswer, now: Millis): void {
    applyStartAnswer(this.registry, run, answer, this.options.leaseMs, now);
  }

  /** Whether a start command without an answer is to be sent again. */
  isStartWanted(run: Run, now: Millis): boolean {
    return isStartWanted(this.registry, run, now);
  }

  /** Handles a start command that has got no answer so far. */
  handleUnansweredStart(run: Run, now: Millis): void {
    recordUnansweredStart(this.registry, run, this.options.leaseMs, now);
  }

  /** Records the starts without an answer, for the next holder. */
  recordOutstandingStarts(now: Millis): void {
    recordOutstandingStarts(this.registry, this.options.leaseMs, now);
  }

  /** Handles a worker's confirmation of the stop that was sent at `sentAt`. */
  handleStopAccepted(run: Run, sentAt: Millis, now: Millis): void {
    const {stopMs} = this.options;
    applyStopAccepted(this.registry, run, {stopMs, sentAt}, now);
  }

  /** Handles a worker's answer to the poll that was sent at `sentAt`. */
  handleReport(
    workerId: string,
    report: WorkerReport,
    sentAt: Millis,
    now: Millis,
  ): void {
    const worker = this.workers.get(workerId);
    if (worker !== undefined)
      applyPollAnswer(this.registry, worker, report, this.options, sentAt, now);
  }

  /** Handles a poll that failed. */
  handlePollFailure(
    workerId: string,
    failure: WorkerRequestFailure,
    now: Millis,
  ): void {
    const worker = this.workers.get(workerId);
    if (worker !== undefined)
      applyPollFailure(this.registry, worker, failure, this.options, now);
  }

  /** Updates the free capacity that the holder of another zone reported. */
  updateZoneVacancies(reported: ZoneVacancies, now: Millis): void {
    this.remoteVacancies.update(reported, now);
    this.registry.isPlacementDue = true;
  }

  /** Lists the free capacity on each worker of a service, for other zones. */
  findVacancies(service: string, now: Millis): Vacancy[] {
    return listVacancies(this.registry, service, now);
  }

  /** Finds since when jobs run here though nobody waits for them. */
  findAbandonedJobs(now: Millis): Map<string, Millis> {
    return findAbandonedJobs(this.registry, this.stopper.unclaimedSince, now);
  }

  /** Handles another zone's report of the jobs that nobody waits for there. */
  handleAbandonedJobs(report: AbandonedJobReport, now: Millis): void {
    this.intake.addAbandonedJobs(report, now);
  }

  /** Whether another zone, or a late start command, may run tasks of the job. */
  mayRunElsewhere(jobId: string, now: Millis): boolean {
    return mayRunElsewhere(this.registry, jobId, now);
  }

  /** Handles another zone's report of the tasks that it runs for this one. */
  handleDelegationReport(
    zone: string,
    report: DelegationReport,
    now: Millis,
  ): void {
    this.intake.addDelegationReport(zone, report, now);
  }

  /** Handles the end of a task that was delegated to another zone. */
  handleDelegatedEnd(run: Run, end: RunEnd | 'refused', now: Millis): void {
    if (end === 'refused') this.remoteVacancies.clearZone(run.workerId);
    this.registry.endRun(run, end, now);
  }

  /** Handles the loss of the holder to which a task was delegated. */
  handleDelegateLost(run: Run, now: Millis): void {
    this.remoteVacancies.clearZone(run.workerId);
    loseDelegatedRun(this.registry, run, this.options.leaseMs, now);
  }
}
