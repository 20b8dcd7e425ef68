/** The tasks that other zones have delegated to this one. */
import {
  AbandonReason,
  type Dispatcher,
  type Command,
} from '@goldcrestpier/dispatch';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {
  JobAnswer,
  TaskDelegation,
  DelegatedTaskList,
} from '../protocol/index.js';
import {formatDelegatedTaskId, toDelegatedJob} from './job_conversion.js';
import {recordJoin} from './observer.js';
import type {PendingAnswers} from './pending_answers.js';

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

/** Runs, lists and stops delegated tasks. */
export class DelegatedTasks {
  /** Token of the holder that last delegated each task or reattached to it. */
  private readonly tokenByTask = new Map<string, number>();

  constructor(private readonly options: DelegatedTasksOptions) {}

  /** Runs one task or refuses it at once; resolves when it has ended. */
  accept(message: TaskDelegation, now: Millis): Promise<JobAnswer> {
    const {dispatcher, pendingAnswers, onCommands, onChange} = this.options;
    const job = toDelegatedJob(message, now);
    const {progress} = message;
    return new Promise(answer => {
      pendingAnswers.add(job.id, {ownerId: message.homeZone, answer});
      this.tokenByTask.set(job.id, message.token);
      if (message.isJoin) {
        dispatcher.resumeDelegated(job, now, progress);
        recordJoin(this.options, message, job.id, now);
      } else onCommands(dispatcher.acceptDelegated(job, now));
      onChange();
    });
  }

  /** Stops a task that its zone recalls. */
  recall(homeZone: string, task: string, now: Millis): void {
    this.cancel(
      formatDelegatedTaskId(homeZone, task),
      AbandonReason.Cancelled,
      now,
    );
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

  /** Finds the jobs of tasks whose zones may no longer wait for them. */
  findUnconfirmed(isConfirmed: IsTaskWanted): string[] {
    const jobIds: string[] = [];
    for (const {
      id,
      job,
      submittedId,
    } of this.options.dispatcher.jobs.values()) {
      const token = this.tokenByTask.get(id);
      if (job.delegatedBy === undefined || token === undefined) continue;
      if (!isConfirmed(job.delegatedBy, token)) jobIds.push(submittedId);
    }
    return jobIds;
  }

  /** Removes a task that has ended. */
  remove(recordId: string): void {
    this.tokenByTask.delete(recordId);
  }

  private cancel(id: string, reason: AbandonReason, now: Millis): void {
    this.options.dispatcher.cancel(id, reason, now);
    this.options.onChange();
  }
}
