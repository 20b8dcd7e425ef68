/** Learns which share of a queue's tasks is far longer than predicted. */
import {createTail, NO_TAIL, type Tail} from '../work_estimates/index.js';

/** Log of the ratio to its prediction from which a task is a long one. */
const LONG_DEVIATION = Math.log(3.5);
/** Weight of older runs after each run, so that about 1,000 runs count. */
const RETENTION = 0.999;
/** Weight of the prior without long tasks, in runs. */
const PRIOR_RUNS = 30;
/** Runs that show a long task before the tail is used in estimates. */
const MIN_LONG_RUNS = 2;
/** Weight of the latest long task in the length of all of them. */
const FACTOR_WEIGHT = 0.1;

/** The long tasks of one queue. */
export class QueueTail {
  private runs = PRIOR_RUNS;
  private longRuns = 0;
  private longLog = LONG_DEVIATION;
  /** The tail as far as it is known. */
  tail: Tail = NO_TAIL;

  /** Adds a run; `deviation` is the log of its ratio to its prediction. */
  learn(deviation: number): void {
    const isLong = deviation >= LONG_DEVIATION;
    this.runs = this.runs * RETENTION + 1;
    this.longRuns = this.longRuns * RETENTION + (isLong ? 1 : 0);
    if (isLong) {
      const weight = Math.max(1 / this.longRuns, FACTOR_WEIGHT);
      this.longLog += weight * (deviation - this.longLog);
    }
    this.tail =
      this.longRuns < MIN_LONG_RUNS
        ? NO_TAIL
        : createTail(this.longRuns / this.runs, Math.exp(this.longLog));
  }
}
