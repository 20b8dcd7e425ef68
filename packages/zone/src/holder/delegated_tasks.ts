/** The tasks that other zones have delegated to this one. */
import {
  AbandonReason,
  type Dispatcher,
  type Command,
  type EndedJob,
} from '@goldcrestpier/dispatch';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {
  JobAnswer,
  TaskDelegation,
  DelegatedTaskList,
  DelegationRecall,
} from '../protocol/index.js';
import {EndedDelegations} from './ended_delegations.js';
import {formatDelegatedTaskId, toDelegatedJob} from './job_conversion.js';
import {recordJoin} from './observer.js';
import type {PendingAnswers} from './pending_answers.js';
import {RecalledTasks} from './recalled_tasks.js';
import {outdatedRefusal} from './refusals.js';

/** Whether a zone still wants a task that it delegated under this token. */
export type IsTaskWanted = (zone: string, token: number) => boolean;

/** Dependencies of `DelegatedTasks`. */
export interface DelegatedTasksOptions {
  readonly dispatcher: Dispatcher;
  readonly pendingAnswers: PendingAnswers;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly onCommands: (commands: readonly Command[]) => void;
  /** Called when state that scheduling depends on has changed. */
  readonly onChange: () => void;
}

interface DelegatedRun {
  /** Number of the run of the task's record. */
  readonly run: number;
  /** Token of the holder that last delegated the task or reattached to it. */
  readonly token: number;
}

/** Runs, lists and stops delegated tasks. */
export class DelegatedTasks {
  /** The tasks that have not ended, by the ids of their records. */
  private readonly tasks = new Map<string, DelegatedRun>();
  private readonly ended = new EndedDelegations();
  private readonly recalled = new RecalledTasks();

  constructor(private readonly options: DelegatedTasksOptions) {}

  /**
   * Runs one task or refuses it at once, or reattaches to its run; resolves when
   * it has ended.
   */
  accept(message: TaskDelegation, now: Millis): Promise<JobAnswer> {
    const {dispatcher, pendingAnswers, onCommands, onChange} = this.options;
    const job = toDelegatedJob(message, now);
    const {progress, token} = message;
    const known = dispatcher.jobs.get(job.id);
    const run = known?.job.delegated?.run ?? message.run;
    if (!message.isJoin) this.ended.forget(job.id);
    else if (known === undefined) {
      const outcome = this.ended.find(job.id, run, now);
      if (outcome !== undefined) return Promise.resolve(outcome);
    }
    if (known === undefined && this.isRecalled(job.id, message, now))
      return Promise.resolve(outdatedRefusal);
    return new Promise(answer => {
      const {homeZone: ownerId, run: request} = message;
      const {deadlineAt} = job;
      pendingAnswers.add(job.id, {ownerId, request, deadlineAt, answer});
      this.tasks.set(job.id, {run, token});
      if (message.isJoin) {
        dispatcher.resumeDelegated(job, now, progress);
        recordJoin(this.options, message, job.id, now);
      } else onCommands(dispatcher.acceptDelegated(job, now));
      onChange();
    });
  }

  /** Stops a task that its zone recalls; it does not start later either. */
  recall({homeZone, token, task, run}: DelegationRecall, now: Millis): void {
    const id = formatDelegatedTaskId(homeZone, task);
    if (run !== undefined) this.recalled.add(id, {token, run}, now);
    const known = this.tasks.get(id);
    const isLate =
      run !== undefined && known?.token === token && known.run > run;
    if (!isLate) this.cancel(id, AbandonReason.Recalled, now);
  }

  /**
   * Lists the tasks that run here for a zone, and the runs found on workers
   * whose zone is unknown.
   */
  list(homeZone: string, now: Millis): DelegatedTaskList {
    const {dispatcher} = this.options;
    const tasks: DelegatedTaskList['tasks'] = [];
    for (const record of dispatcher.jobs.values()) {
      if (record.job.delegatedBy !== homeZone) continue;
      for (const {key, number: run} of record.runs()) tasks.push({key, run});
    }
    for (const {orphans} of dispatcher.workers.values()) {
      for (const [key, run] of orphans) tasks.push({key, run});
    }
    const isComplete = dispatcher.haveEarlierRunsEnded(now);
    const {hasPolledWorkers} = dispatcher;
    return {isComplete, hasPolledWorkers, tasks};
  }

  /** Cancels tasks whose zone is unavailable or no longer wants them. */
  cancelUnwanted(isWanted: IsTaskWanted, now: Millis): void {
    for (const {id, job} of [...this.options.dispatcher.jobs.values()]) {
      const token = this.tasks.get(id)?.token;
      if (job.delegatedBy === undefined || token === undefined) continue;
      if (!isWanted(job.delegatedBy, token)) {
        this.cancel(id, AbandonReason.OwnerLost, now);
      }
    }
  }

  /** Finds the jobs of tasks whose zones may no longer wait for them. */
  findUnconfirmed(isConfirmed: IsTaskWanted): string[] {
    const jobIds: string[] = [];
    for (const [id, {token}] of this.tasks) {
      const record = this.options.dispatcher.jobs.get(id);
      const zone = record?.job.delegatedBy;
      if (record === undefined || zone === undefined) continue;
      if (!isConfirmed(zone, token)) jobIds.push(record.submittedId);
    }
    return jobIds;
  }

  /** Removes a task that has ended, and keeps its outcome. */
  recordEnd({id, outcome}: EndedJob, now: Millis): void {
    const task = this.tasks.get(id);
    this.tasks.delete(id);
    if (task !== undefined) this.ended.record(id, task.run, outcome, now);
  }

  private isRecalled(
    id: string,
    message: TaskDelegation,
    now: Millis,
  ): boolean {
    return message.isJoin
      ? this.recalled.wasRecalled(id, message.run, now)
      : this.recalled.isRecalled(id, message, now);
  }

  private cancel(id: string, reason: AbandonReason, now: Millis): void {
    this.options.dispatcher.cancel(id, reason, now);
    this.options.onChange();
  }
}
