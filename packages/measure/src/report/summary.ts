/** Mean and percentiles of response times. */
import {build} from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 3;
/** The histogram records tenths of a millisecond. */
const UNITS_PER_MS = 10;
const HIGHEST_MS = 600_000;

/** Mean and percentiles of a distribution, in milliseconds. */
export interface Summary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Summarizes times in milliseconds. */
export function summarize(timesMs: readonly number[]): Summary {
  const histogram = build({
    highestTrackableValue: HIGHEST_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  for (const each of timesMs) {
    histogram.recordValue(Math.max(0, Math.round(each * UNITS_PER_MS)));
  }
  const read = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  const sum = timesMs.reduce((total, each) => total + each, 0);
  return {
    count: timesMs.length,
    mean: timesMs.length === 0 ? 0 : sum / timesMs.length,
    p50: read(50),
    p95: read(95),
    p99: read(99),
  };
}

/** Ratios of `found` to `baseline`. */
export function computeRatios(
  found: Summary,
  baseline: Summary,
): Omit<Summary, 'count'> {
  return {
    mean: found.mean / baseline.mean,
    p50: found.p50 / baseline.p50,
    p95: found.p95 / baseline.p95,
    p99: found.p99 / baseline.p99,
  };
}
