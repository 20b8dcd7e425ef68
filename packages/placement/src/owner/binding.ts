/** How waiting tasks come to servers: by grants, or by a baseline policy. */
import type {Grant, GrantEnd} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {PoolQueue} from './pool_queue.js';

/** How one grant ended. */
export interface EndedGrant {
  readonly grant: Grant;
  readonly end: GrantEnd;
  /** From start to answer; undefined when none came. */
  readonly runMs: Millis | undefined;
  /** Expected on a server of mean speed. */
  readonly expectedMs: Millis | undefined;
}

/** One way to bind waiting tasks to servers. */
export interface Binding {
  /** Tasks wait that did not before, or fewer do. */
  wake(queue: PoolQueue, now: Millis): void;
  /** A start ended, or a grant came for nothing. */
  settle(ended: EndedGrant, now: Millis): void;
  /** How long a task pauses after a start that proved not to have run. */
  pauseMs(): Millis;
}
