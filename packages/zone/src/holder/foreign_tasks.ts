/** The tasks that other zones have lent to this one. */
import {
  AbandonReason,
  type Dispatcher,
  type Command,
} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobAnswer, Lending, LentList} from '../protocol/index.js';
import {formatLent, toLentJob} from './to_job.js';
import type {Waiters} from './waiters.js';

/** Whether a zone still wants a task that it lent under this token. */
export type WantsLent = (zone: string, token: number) => boolean;

/** What the tasks of other zones need. */
export interface ForeignTasksOptions {
  readonly dispatcher: Dispatcher;
  readonly waiters: Waiters;
  readonly onOrders: (orders: readonly Command[]) => void;
  /** Called when something is known that decisions depend on. */
  readonly onChange: () => void;
}

/** Runs, lists and stops what other zones have lent. */
export class ForeignTasks {
  /** The token under which each task was lent or joined last. */
  private readonly lentUnder = new Map<string, number>();

  constructor(private readonly options: ForeignTasksOptions) {}

  /** Runs one task, now or not at all; answers when it has ended. */
  take(message: Lending, now: Millis): Promise<JobAnswer> {
    const {dispatcher, waiters, onOrders, onChange} = this.options;
    const job = toLentJob(message, now);
    const {progress} = message;
    return new Promise(answer => {
      waiters.add(job.id, {ownerId: message.homeZone, answer});
      this.lentUnder.set(job.id, message.token);
      if (message.isJoin) dispatcher.resumeDelegated(job, now, progress);
      else onOrders(dispatcher.acceptDelegated(job, now));
      onChange();
    });
  }

  /** Stops a task that its zone takes back. */
  recall(homeZone: string, task: string, now: Millis): void {
    this.cancel(formatLent(homeZone, task), AbandonReason.Cancelled, now);
  }

  /**
   * The tasks that run here for a zone, and those found on workers that may be
   * any zone's.
   */
  list(homeZone: string, now: Millis): LentList {
    const {dispatcher} = this.options;
    const tasks: LentList['tasks'] = [];
    for (const record of dispatcher.jobs.values()) {
      if (record.job.delegatedBy !== homeZone) continue;
      for (const {key, run} of record.runs()) tasks.push({key, run});
    }
    for (const {orphans} of dispatcher.workers.values()) {
      for (const [key, run] of orphans) tasks.push({key, run});
    }
    return {isComplete: dispatcher.haveEarlierRunsEnded(now), tasks};
  }

  /** Stops what runs for zones that are gone or have forgotten it. */
  drop(wants: WantsLent, now: Millis): void {
    for (const {id, job} of [...this.options.dispatcher.jobs.values()]) {
      const token = this.lentUnder.get(id);
      if (job.delegatedBy === undefined || token === undefined) continue;
      if (!wants(job.delegatedBy, token)) {
        this.cancel(id, AbandonReason.OwnerLost, now);
      }
    }
  }

  /** Forgets a task that has ended. */
  forget(recordId: string): void {
    this.lentUnder.delete(recordId);
  }

  private cancel(id: string, reason: AbandonReason, now: Millis): void {
    this.options.dispatcher.cancel(id, reason, now);
    this.options.onChange();
  }
}
