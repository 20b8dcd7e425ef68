/** Request hedging: starts slow repeatable tasks twice, within a budget. */
import {readClock} from '@goldcrestpier/runtime';
import {RetryReason} from '../counters.js';
import {kindOf} from '../view.js';
import type {PoolQueue} from './pool_queue.js';
import type {StartTrackerOptions} from './start_tracker.js';
import {
  RecordState,
  type RunningStart,
  type TaskRecord,
} from './task_record.js';

/** Options of `HedgeTimers`. */
export type HedgeTimersOptions = Pick<
  StartTrackerOptions,
  'counters' | 'estimates' | 'settingsOf' | 'bindingOf'
>;

/** Hedges starts that take too long. */
export class HedgeTimers {
  private readonly timers = new Map<RunningStart, NodeJS.Timeout>();

  constructor(private readonly options: HedgeTimersOptions) {}

  /** Schedules a hedge for when this start exceeds the percentile. */
  watch(queue: PoolQueue, record: TaskRecord, start: RunningStart): void {
    const {hedge} = this.options.settingsOf(queue.pool);
    const {task} = record;
    // At most one hedge at a time: the hedge itself is not hedged.
    if (!hedge.enabled || !task.repeatable || record.running.size > 1) return;
    const {estimates} = this.options;
    const delayMs = estimates.percentileMs(kindOf(task), hedge.percentile);
    if (delayMs === undefined) return;
    const timer = setTimeout(() => {
      this.timers.delete(start);
      this.hedge(queue, record);
    }, delayMs);
    this.timers.set(start, timer);
  }

  /** Cancels the hedge of a start that ended. */
  forget(start: RunningStart): void {
    clearTimeout(this.timers.get(start));
    this.timers.delete(start);
  }

  private hedge(queue: PoolQueue, record: TaskRecord): void {
    if (record.state !== RecordState.Started) return;
    const {maxStarts} = this.options.settingsOf(queue.pool).retry;
    if (record.starts >= maxStarts || !queue.hedgeBudget.withdraw()) return;
    const now = readClock();
    this.options.counters.retried(RetryReason.Hedge, queue.pool);
    queue.putBack(record, now);
    this.options.bindingOf(queue.pool).onQueueChange(queue, now);
  }
}
