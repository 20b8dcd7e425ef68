/** Accepts jobs and delegated tasks, and adopts their earlier runs. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  AbandonReason,
  RefusalReason,
  createAbandoned,
  type Job,
  type JobProgress,
} from '../../work/index.js';
import type {AbandonedJobReport} from '../../remote_runs/index.js';
import type {Run} from '../../workers/index.js';
import {adoptDelegated, adoptOrphans} from './adoption.js';
import type {Registry} from '../registry.js';
import {findRejection, mayHaveOtherRuns, rejectJob} from './job_admission.js';
import {type JobRecord, applyProgress, type TaskRecord} from '../jobs/index.js';
import type {DelegationReport} from './delegation_survey.js';
import {computeLeaseExpiry} from '../options.js';
import type {Command} from '../commands.js';
import type {Placer} from '../placing/index.js';
import {abandonJob} from '../ending/index.js';
import {findRefusal} from './refusal.js';

/** What is known of a job from before it was submitted here. */
export interface JobHistory {
  /** Whether another holder may have started it. */
  readonly isResumed: boolean;
  /** What that holder reported when it stepped down. */
  readonly progress: JobProgress | undefined;
}

/** Adds jobs and delegated tasks to the registry. */
export class Intake {
  /** Commands that request the results of adopted delegated tasks. */
  private commands: Command[] = [];

  constructor(
    private readonly registry: Registry,
    private readonly placer: Placer,
    private readonly leaseMs: Millis,
  ) {}

  /** Returns the commands that have accumulated since the last call. */
  takeCommands(): Command[] {
    const {commands} = this;
    this.commands = [];
    return commands;
  }

  /** Accepts a job, or adds the history to one that is known. */
  submit(job: Job, history: JobHistory, now: Millis): void {
    const known = this.registry.jobs.get(job.id);
    if (known !== undefined) return this.applyHistory(known, history, now);
    const mayRun =
      history.isResumed || mayHaveOtherRuns(this.registry, job.id, now);
    // Only the workers of other zones count while this one is evacuated.
    const {isActive: isEvacuated} = this.registry.evacuation;
    const refusal =
      mayRun || isEvacuated ? undefined : findRefusal(this.registry, job);
    const rejection = mayRun
      ? undefined
      : findRejection(this.registry, job, now);
    if (rejection !== undefined && refusal === undefined)
      return rejectJob(this.registry, job, rejection, now);
    const record = this.registry.addJob(job, now);
    // A task of it may run, so it must not be refused as not run.
    if (mayRun) record.hasStarted = true;
    if (refusal !== undefined) {
      this.registry.refuse(record, refusal, 0, now);
      return;
    }
    // The zone that delegated tasks of this job is no longer its owner, as the
    // client has submitted the job here.
    for (const task of this.registry.inboundTasks.listTasks(job.id)) {
      this.registry.endJob(task, createAbandoned(AbandonReason.OwnerLost), now);
    }
    this.applyHistory(record, history, now);
    adoptOrphans(this.registry, record, now);
    this.adoptDelegated(record, now);
    if (this.registry.remoteRuns.mayRun(job.id, now)) holdBack(record);
    // Its owner waits until the runs that an earlier holder left have ended.
    if (now >= job.deadlineAt)
      abandonJob(this.registry, record, AbandonReason.Deadline, now);
  }

  /** Adds the abandoned jobs that another zone reports. */
  addAbandonedJobs(report: AbandonedJobReport, now: Millis): void {
    this.registry.remoteRuns.record(report, now);
    this.registry.isPlacementDue = true;
    const {jobs} = this.registry;
    for (const jobId of report.isCut ? jobs.keys() : report.jobIds) {
      const record = jobs.get(jobId);
      if (record !== undefined && !record.isInbound) holdBack(record);
    }
  }

  /** Resumes a delegated task that an earlier holder of this zone started. */
  resumeDelegated(
    job: Job,
    progress: JobProgress | undefined,
    now: Millis,
  ): void {
    if (this.registry.jobs.has(job.id)) return;
    const record = this.registry.addJob(job, now);
    this.applyHistory(record, {isResumed: true, progress}, now);
    adoptOrphans(this.registry, record, now);
  }

  /** Accepts a task from another zone; it starts now or is refused. */
  acceptDelegated(job: Job, now: Millis): Command[] {
    if (this.registry.jobs.has(job.id)) return [];
    const isSubmittedHere = this.registry.jobs.has(
      job.delegated?.name.jobId ?? '',
    );
    const record = this.registry.addJob(job, now);
    const isRefused = isSubmittedHere || this.registry.evacuation.isActive;
    const commands = isRefused ? [] : this.placer.place(now);
    if (!record.hasStarted) {
      this.registry.refuse(record, RefusalReason.TooLate, 0, now);
    }
    return commands;
  }

  /** Adds another zone's report of the tasks that it runs for this one. */
  addDelegationReport(
    zone: string,
    report: DelegationReport,
    now: Millis,
  ): void {
    this.registry.delegationSurvey.addReport(zone, report, now);
    this.registry.isPlacementDue = true;
    for (const record of this.registry.jobs.values())
      this.adoptDelegated(record, now);
  }

  private applyHistory(
    record: JobRecord,
    {isResumed, progress}: JobHistory,
    now: Millis,
  ): void {
    if (!isResumed) return;
    if (!record.isResumed) {
      record.resumedAt = now;
      record.hasStarted = true;
      record.mayHaveUnknownRuns = true;
    }
    if (progress === undefined || !record.mayHaveUnknownRuns) return;
    const latestEndAt = computeLeaseExpiry(now, this.leaseMs);
    const delegated = applyProgress(
      this.registry,
      record,
      progress,
      latestEndAt,
      now,
    );
    this.requestResults(record, delegated);
    this.registry.finishIfPossible(record, now);
  }

  private adoptDelegated(record: JobRecord, now: Millis): void {
    this.requestResults(record, adoptDelegated(this.registry, record, now));
  }

  /** Requests the results of delegated tasks from the zones that run them. */
  private requestResults(record: JobRecord, runs: readonly Run[]): void {
    for (const run of runs) {
      const command = {zone: run.workerId, run, record, isAdopted: true};
      this.commands.push({kind: 'lend', ...command});
    }
  }
}

/** Keeps a job from starting while another zone may run its tasks. */
function holdBack(record: JobRecord): void {
  if (record.isRunning || record.tasks.some(isDone)) return;
  record.isHeldBack = true;
  // It may have run elsewhere, so it must not be refused as not run.
  record.hasStarted = true;
}

function isDone({state}: TaskRecord): boolean {
  return state.kind === 'done';
}
