/** How fast one server runs, relative to what its tasks were expected to take. */
import type {Millis} from '@goldcrestpier/runtime';
import {LogAverage} from './log_average.js';

const WINDOW = 64;
/** A new server counts as this many runs at mean speed. */
const PRIOR_RUNS = 3;
const SLOWEST = 0.05;
const FASTEST = 20;

/** The measured speed of one server, 1 being what was expected. */
export class ServerSpeed {
  private readonly ratios = new LogAverage(WINDOW);

  /** Learns from one run that ended well. */
  record(runMs: Millis, expectedMs: Millis): void {
    if (runMs <= 0 || expectedMs <= 0) return;
    this.ratios.add(bound(expectedMs / runMs));
  }

  /** The speed, near 1 while little was seen. */
  get speed(): number {
    const {count, average} = this.ratios;
    return Math.exp((average * count) / (count + PRIOR_RUNS));
  }
}

function bound(speed: number): number {
  return Math.min(Math.max(speed, SLOWEST), FASTEST);
}
