/** The tasks that other zones have delegated to this one. */
import {
  AbandonReason,
  type Dispatcher,
  type Command,
} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {
  JobAnswer,
  TaskDelegation,
  DelegatedTaskList,
  DelegationRecall,
} from '../protocol/index.js';
import {formatDelegatedTaskId, toDelegatedJob} from './job_conversion.js';
import type {PendingAnswers} from './pending_answers.js';
import {RecalledTasks} from './recalled_tasks.js';
import {outdatedRefusal} from './refusals.js';

/** Whether a zone still wants a task that it delegated under this token. */
export type IsTaskWanted = (zone: string, token: number) => boolean;

/** Dependencies of `DelegatedTasks`. */
export interface DelegatedTasksOptions {
  readonly dispatcher: Dispatcher;
  readonly pendingAnswers: PendingAnswers;
  readonly onCommands: (commands: readonly Command[]) => void;
  /** Called when state that scheduling depends on has changed. */
  readonly onChange: () => void;
}

/** Runs, lists and stops delegated tasks. */
export class DelegatedTasks {
  /** Token of the holder that last delegated each task or reattached to it. */
  private readonly tokenByTask = new Map<string, number>();
  private readonly recalled = new RecalledTasks();

  constructor(private readonly options: DelegatedTasksOptions) {}

  /** Runs one task or refuses it at once; resolves when it has ended. */
  accept(message: TaskDelegation, now: Millis): Promise<JobAnswer> {
    const {dispatcher, pendingAnswers, onCommands, onChange} = this.options;
    const job = toDelegatedJob(message, now);
    const {progress} = message;
    if (!dispatcher.jobs.has(job.id) && this.isRecalled(job.id, message, now))
      return Promise.resolve(outdatedRefusal);
    return new Promise(answer => {
      pendingAnswers.add(job.id, {ownerId: message.homeZone, answer});
      this.tokenByTask.set(job.id, message.token);
      if (message.isJoin) dispatcher.resumeDelegated(job, now, progress);
      else onCommands(dispatcher.acceptDelegated(job, now));
      onChange();
    });
  }

  /** Stops a task that its zone recalls; it does not start later either. */
  recall({homeZone, token, task, run}: DelegationRecall, now: Millis): void {
    const id = formatDelegatedTaskId(homeZone, task);
    if (run !== undefined) this.recalled.add(id, {token, run}, now);
    this.cancel(id, AbandonReason.Cancelled, now);
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
    return {isComplete: dispatcher.haveEarlierRunsEnded(now), tasks};
  }

  /** Cancels tasks whose zone is unavailable or no longer wants them. */
  cancelUnwanted(isWanted: IsTaskWanted, now: Millis): void {
    for (const {id, job} of [...this.options.dispatcher.jobs.values()]) {
      const token = this.tokenByTask.get(id);
      if (job.delegatedBy === undefined || token === undefined) continue;
      if (!isWanted(job.delegatedBy, token)) {
        this.cancel(id, AbandonReason.OwnerLost, now);
      }
    }
  }

  /** Removes a task that has ended. */
  remove(recordId: string): void {
    this.tokenByTask.delete(recordId);
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
