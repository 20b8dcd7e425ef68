/** Handles the requests of other zones about the tasks they delegate here. */
import type {TaskHistory} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {outdatedRefusal, type Holder} from '../holder/index.js';
import type {
  TaskDelegation,
  DelegationAnswer,
  DelegatedTaskList,
  DelegatedTasksQuery,
  DelegationRecall,
} from '../protocol/index.js';
import type {OtherZones} from './other_zones.js';

/** The handlers for delegated tasks at one instance. */
export class DelegationHandler {
  /** `findHolder` finds the holder in this process, while there is one. */
  constructor(
    private readonly zones: OtherZones,
    private readonly findHolder: () => Holder | undefined,
    private readonly history: TaskHistory,
  ) {}

  /** Runs a task that the holder of another zone delegates. */
  async runDelegatedTask(message: TaskDelegation): Promise<DelegationAnswer> {
    const holder = this.findHolder();
    if (holder === undefined) {
      return {answer: {kind: 'not_holder', mayHaveStarted: false}};
    }
    const {homeZone, token} = message;
    // The newer holder has already listed its tasks, without this one.
    if (!this.zones.recordToken(homeZone, token, readClock())) {
      return {answer: outdatedRefusal};
    }
    const answer = await holder.runDelegatedTask(message);
    const rooms = holder.findFreeCapacity();
    const known = this.history.reportJob(message.job.id, readClock());
    return {answer, rooms, ...known};
  }

  /** Stops a task that another zone recalls; false if not the holder. */
  recall(message: DelegationRecall): Promise<boolean> {
    const holder = this.findHolder();
    const {homeZone, token} = message;
    const isCurrent = this.zones.recordToken(homeZone, token, readClock());
    if (isCurrent) holder?.recall(message);
    return Promise.resolve(holder !== undefined);
  }

  /** Lists the tasks that are known to run here for another zone. */
  listDelegatedTasks({
    homeZone,
    token,
  }: DelegatedTasksQuery): Promise<DelegatedTaskList> {
    this.zones.recordToken(homeZone, token, readClock());
    const unknown = {isComplete: false, tasks: []};
    const holder = this.findHolder();
    const list = holder?.listDelegatedTasks(homeZone) ?? unknown;
    const known = this.history.reportAll(readClock());
    const abandoned = holder?.abandonedJobs.report();
    const holderToken = holder?.token;
    return Promise.resolve({...list, ...known, ...abandoned, holderToken});
  }
}
