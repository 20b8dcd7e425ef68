/**
 * How long tasks of one kind run, from those that ended. Declared run times are
 * often far off, so each kind learns how far, and trusts them accordingly.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {LogAverage} from './log_average.js';

const WINDOW = 512;
/** Fewer runs than this say too little of a percentile. */
const LEAST_RUNS = 50;
/** Kinds that are remembered; the one unused for longest goes first. */
const MAX_KINDS = 1_024;
const BUCKETS = 96;
const FIRST_BUCKET_MS = 1;
/** Each bucket is wider than the one before by this factor. */
const BUCKET_GROWTH = 1.15;
const DEFAULT_RUN_MS = 300;

interface KindRuns {
  /** Run times on a server of mean speed. */
  readonly runs: LogAverage;
  /** Run time over declared run time. */
  readonly errors: LogAverage;
  readonly buckets: Float64Array;
  total: number;
  /** Fading average run time, in milliseconds. */
  meanMs: number;
}

/** Run times by kind of task. */
export class RunEstimates {
  private readonly kinds = new Map<string, KindRuns>();

  /** Learns from one run, `runMs` being scaled to a server of mean speed. */
  record(kind: string, declaredMs: Millis | undefined, runMs: Millis): void {
    const measured = Math.max(runMs, FIRST_BUCKET_MS);
    const known = this.touch(kind);
    known.runs.add(measured);
    if (declaredMs !== undefined) known.errors.add(measured / declaredMs);
    known.meanMs += (measured - known.meanMs) / known.runs.count;
    countRun(known, measured);
  }

  /** The run time to expect of one task on a server of mean speed. */
  expectedMs(kind: string, declaredMs: Millis | undefined): Millis {
    const known = this.kinds.get(kind);
    if (known === undefined) return declaredMs ?? DEFAULT_RUN_MS;
    if (declaredMs === undefined || known.errors.count < 1) {
      return Math.exp(known.runs.average);
    }
    const corrected = Math.log(declaredMs) + known.errors.average;
    const trust = trustInDeclared(known);
    return Math.exp(trust * corrected + (1 - trust) * known.runs.average);
  }

  /** The average run time of a kind; undefined while none was seen. */
  meanMs(kind: string): Millis | undefined {
    return this.kinds.get(kind)?.meanMs;
  }

  /** A percentile of the run times; undefined while too few were seen. */
  percentileMs(kind: string, share: number): Millis | undefined {
    const known = this.kinds.get(kind);
    if (known === undefined || known.total < LEAST_RUNS) return undefined;
    let left = known.total * share;
    const at = known.buckets.findIndex(count => (left -= count) <= 0);
    const bucket = at < 0 ? BUCKETS - 1 : at;
    return FIRST_BUCKET_MS * BUCKET_GROWTH ** (bucket + 1);
  }

  private touch(kind: string): KindRuns {
    const known = this.kinds.get(kind) ?? createKind();
    // Maps keep insertion order: the first key is the one unused for longest.
    this.kinds.delete(kind);
    this.kinds.set(kind, known);
    if (this.kinds.size > MAX_KINDS) {
      const [oldest] = this.kinds.keys();
      if (oldest !== undefined) this.kinds.delete(oldest);
    }
    return known;
  }
}

function createKind(): KindRuns {
  return {
    runs: new LogAverage(WINDOW),
    errors: new LogAverage(WINDOW),
    buckets: new Float64Array(BUCKETS),
    total: 0,
    meanMs: 0,
  };
}

/** The estimate that varies less gets the larger weight. */
function trustInDeclared({runs, errors}: KindRuns): number {
  const sum = runs.variance + errors.variance;
  return sum > 0 ? runs.variance / sum : 1;
}

function countRun(known: KindRuns, runMs: Millis): void {
  if (known.total >= WINDOW * 2) fade(known);
  const steps = Math.log(runMs / FIRST_BUCKET_MS) / Math.log(BUCKET_GROWTH);
  const bucket = Math.min(Math.max(Math.floor(steps), 0), BUCKETS - 1);
  known.buckets[bucket] = (known.buckets[bucket] ?? 0) + 1;
  known.total += 1;
}

function fade(known: KindRuns): void {
  known.total = 0;
  known.buckets.forEach((count, bucket) => {
    known.buckets[bucket] = count / 2;
    known.total += count / 2;
  });
}
