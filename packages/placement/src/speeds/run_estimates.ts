/**
 * Estimates the run time of tasks by kind from completed runs. Declared run
 * times are often far off, so the estimate corrects them by the mean error of
 * the kind and weights them by how consistent that error is.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {LogAverage} from './log_average.js';

/** Number of recent runs that count. */
const WINDOW = 512;
/** Minimum number of runs for a reliable percentile. */
const MIN_RUNS = 50;
/** Maximum number of kinds kept; the least recently used is evicted. */
const MAX_KINDS = 1_024;
const BUCKETS = 96;
const FIRST_BUCKET_MS = 1;
/** Factor between the widths of consecutive buckets. */
const BUCKET_GROWTH = 1.15;
const DEFAULT_RUN_MS = 300;

interface KindStatistics {
  /** Run times on a server of mean speed. */
  readonly runs: LogAverage;
  /** Ratio of measured to declared run time. */
  readonly errorRatios: LogAverage;
  /** Histogram of run times with exponential buckets. */
  readonly buckets: Float64Array;
  total: number;
  /** Decaying mean run time, in milliseconds. */
  meanMs: number;
}

/** Run time estimates by kind of task. */
export class RunEstimates {
  private readonly kinds = new Map<string, KindStatistics>();

  /** Records one run; `runMs` is scaled to a server of mean speed. */
  record(kind: string, declaredMs: Millis | undefined, runMs: Millis): void {
    const measured = Math.max(runMs, FIRST_BUCKET_MS);
    const known = this.getOrCreate(kind);
    known.runs.add(measured);
    if (declaredMs !== undefined) known.errorRatios.add(measured / declaredMs);
    known.meanMs += (measured - known.meanMs) / known.runs.count;
    countRun(known, measured);
  }

  /** The expected run time of one task on a server of mean speed. */
  expectedMs(kind: string, declaredMs: Millis | undefined): Millis {
    const known = this.kinds.get(kind);
    if (known === undefined) return declaredMs ?? DEFAULT_RUN_MS;
    if (declaredMs === undefined || known.errorRatios.count < 1) {
      return Math.exp(known.runs.average);
    }
    const corrected = Math.log(declaredMs) + known.errorRatios.average;
    const weight = weightOfDeclared(known);
    return Math.exp(weight * corrected + (1 - weight) * known.runs.average);
  }

  /** The mean run time of a kind; undefined before its first run. */
  meanMs(kind: string): Millis | undefined {
    return this.kinds.get(kind)?.meanMs;
  }

  /**
   * A percentile of the run times, `share` being between 0 and 1. Undefined
   * until enough runs were recorded.
   */
  percentileMs(kind: string, share: number): Millis | undefined {
    const known = this.kinds.get(kind);
    if (known === undefined || known.total < MIN_RUNS) return undefined;
    let left = known.total * share;
    const index = known.buckets.findIndex(count => (left -= count) <= 0);
    const bucket = index < 0 ? BUCKETS - 1 : index;
    return FIRST_BUCKET_MS * BUCKET_GROWTH ** (bucket + 1);
  }

  private getOrCreate(kind: string): KindStatistics {
    const known = this.kinds.get(kind) ?? createStatistics();
    // Maps keep insertion order: the first key is the least recently used.
    this.kinds.delete(kind);
    this.kinds.set(kind, known);
    if (this.kinds.size > MAX_KINDS) {
      const [oldest] = this.kinds.keys();
      if (oldest !== undefined) this.kinds.delete(oldest);
    }
    return known;
  }
}

function createStatistics(): KindStatistics {
  return {
    runs: new LogAverage(WINDOW),
    errorRatios: new LogAverage(WINDOW),
    buckets: new Float64Array(BUCKETS),
    total: 0,
    meanMs: 0,
  };
}

/** Inverse-variance weighting: the estimate that varies less weighs more. */
function weightOfDeclared({runs, errorRatios: errors}: KindStatistics): number {
  const sum = runs.variance + errors.variance;
  return sum > 0 ? runs.variance / sum : 1;
}

function countRun(known: KindStatistics, runMs: Millis): void {
  if (known.total >= WINDOW * 2) halveBuckets(known);
  const steps = Math.log(runMs / FIRST_BUCKET_MS) / Math.log(BUCKET_GROWTH);
  const bucket = Math.min(Math.max(Math.floor(steps), 0), BUCKETS - 1);
  known.buckets[bucket] = (known.buckets[bucket] ?? 0) + 1;
  known.total += 1;
}

function halveBuckets(known: KindStatistics): void {
  known.total = 0;
  known.buckets.forEach((count, bucket) => {
    known.buckets[bucket] = count / 2;
    known.total += count / 2;
  });
}
