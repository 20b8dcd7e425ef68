/** Binding of waiting tasks to servers, by grants or by a baseline policy. */
import type {Grant, GrantEnd} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {PoolQueue} from './pool_queue.js';

/** How one grant ended. */
export interface EndedGrant {
  readonly grant: Grant;
  readonly end: GrantEnd;
  /** Time from start to answer; undefined without an answer. */
  readonly runMs: Millis | undefined;
  /** Expected run time on a server of mean speed. */
  readonly expectedMs: Millis | undefined;
}

/** A strategy for binding waiting tasks to servers. */
export interface Binding {
  /** Called when tasks were added to or removed from a queue. */
  onQueueChange(queue: PoolQueue, now: Millis): void;
  /** Called when a start ended, or when a grant found no waiting task. */
  settle(ended: EndedGrant, now: Millis): void;
  /** Delay before a task is requeued after a start that did not run. */
  retryDelayMs(): Millis;
}
