/** Load profiles of the two customers. */

/** A range with a log-uniform distribution, and its share of all draws. */
export interface LogUniformRange {
  readonly share: number;
  readonly low: number;
  readonly high: number;
}

/** Distribution of the jobs of one customer. */
export interface LoadProfile {
  /** Number of tasks in a job. */
  readonly sizes: readonly LogUniformRange[];
  /** Run times of tasks on a server of mean speed, in milliseconds. */
  readonly runTimesMs: readonly LogUniformRange[];
  readonly teams: number;
  /** Share of jobs that are also submitted through another instance. */
  readonly resubmittedShare: number;
  /**
   * Share of the jobs that a cancellation wave cancels, of those young enough.
   */
  readonly cancelledShare: number;
}

const RUN_TIMES_MS: readonly LogUniformRange[] = [
  {share: 0.97, low: 50, high: 1_000},
  {share: 0.03, low: 1_000, high: 6_000},
];

/** Load profiles by name. */
export const LOAD_PROFILES: Readonly<Record<string, LoadProfile>> = {
  lakandula: {
    sizes: [
      {share: 0.6, low: 1, high: 2},
      {share: 0.25, low: 2, high: 10},
      {share: 0.13, low: 10, high: 60},
      {share: 0.02, low: 60, high: 691},
    ],
    runTimesMs: RUN_TIMES_MS,
    teams: 16,
    resubmittedShare: 0.03,
    cancelledShare: 0.4,
  },
  ragusane: {
    sizes: [
      {share: 0.9, low: 1, high: 2},
      {share: 0.08, low: 2, high: 40},
      {share: 0.02, low: 40, high: 200},
    ],
    runTimesMs: RUN_TIMES_MS,
    teams: 6,
    resubmittedShare: 0.05,
    cancelledShare: 0.2,
  },
};

/** Mean of the distribution that `ranges` make up. */
export function computeMean(ranges: readonly LogUniformRange[]): number {
  return ranges.reduce((sum, {share, low, high}) => {
    return sum + (share * (high - low)) / Math.log(high / low);
  }, 0);
}
