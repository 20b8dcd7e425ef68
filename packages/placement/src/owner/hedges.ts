/** Starts stragglers a second time: repeatable tasks only, within a budget. */
import {readClock} from '@goldcrestpier/runtime';
import {RetryReason} from '../counters.js';
import {kindOf} from '../view.js';
import type {PoolQueue} from './pool_queue.js';
import type {StartsParts} from './starts.js';
import {
  RecordState,
  type RunningStart,
  type TaskRecord,
} from './task_record.js';

/** What hedging needs of the parts of all starts. */
export type HedgesParts = Pick<
  StartsParts,
  'counters' | 'estimates' | 'settingsOf' | 'bindingOf'
>;

/** Watches starts for stragglers. */
export class Hedges {
  private readonly timers = new Map<RunningStart, NodeJS.Timeout>();

  constructor(private readonly parts: HedgesParts) {}

  /** Hedges the task if this start runs past the percentile. */
  watch(queue: PoolQueue, record: TaskRecord, start: RunningStart): void {
    const {hedge} = this.parts.settingsOf(queue.pool);
    const {task} = record;
    // One hedge at a time: the second start of a task is not watched.
    if (!hedge.enabled || !task.repeatable || record.running.size > 1) return;
    const {estimates} = this.parts;
    const lateMs = estimates.percentileMs(kindOf(task), hedge.percentile);
    if (lateMs === undefined) return;
    const timer = setTimeout(() => {
      this.timers.delete(start);
      this.hedge(queue, record);
    }, lateMs);
    this.timers.set(start, timer);
  }

  /** A start ended. */
  forget(start: RunningStart): void {
    clearTimeout(this.timers.get(start));
    this.timers.delete(start);
  }

  private hedge(queue: PoolQueue, record: TaskRecord): void {
    if (record.state !== RecordState.Started) return;
    const {maxStarts} = this.parts.settingsOf(queue.pool).retry;
    if (record.starts >= maxStarts || !queue.hedges.spend()) return;
    const now = readClock();
    this.parts.counters.retried(RetryReason.Hedge, queue.pool);
    queue.putBack(record, now);
    this.parts.bindingOf(queue.pool).wake(queue, now);
  }
}
