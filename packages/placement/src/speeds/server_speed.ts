/** Speed of one server relative to the expected run times of its tasks. */
import type {Millis} from '@goldcrestpier/runtime';
import {LogAverage} from './log_average.js';

/** Number of recent runs that count. */
const WINDOW = 64;
/** Weight of the prior: a new server starts with this many runs at speed 1. */
const PRIOR_RUNS = 3;
const MIN_SPEED = 0.05;
const MAX_SPEED = 20;

/** The measured speed of one server; 1 means runs took as long as expected. */
export class ServerSpeed {
  private readonly ratios = new LogAverage(WINDOW);

  /** Records one successful run. */
  record(runMs: Millis, expectedMs: Millis): void {
    if (runMs <= 0 || expectedMs <= 0) return;
    this.ratios.add(clamp(expectedMs / runMs));
  }

  /** The speed, close to 1 until enough runs were recorded. */
  get speed(): number {
    const {count, average} = this.ratios;
    return Math.exp((average * count) / (count + PRIOR_RUNS));
  }
}

function clamp(speed: number): number {
  return Math.min(Math.max(speed, MIN_SPEED), MAX_SPEED);
}
