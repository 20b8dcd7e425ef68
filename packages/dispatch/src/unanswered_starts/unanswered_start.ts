/** Start commands that got no answer, as instances report them to each other. */
import type {Millis} from '@goldcrestpier/runtime';

/** A task with such a command; instances don't share a clock. */
export interface UnansweredStart {
  /** The task's name as text. */
  readonly task: string;
  /** Time until a run that the command starts late has ended, in ms. */
  readonly remainingMs: Millis;
}
