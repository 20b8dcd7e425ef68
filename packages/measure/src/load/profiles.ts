/** The shapes of load of the two customers. */

/** A range that is drawn from evenly on a logarithmic scale, and its share. */
export interface Band {
  readonly share: number;
  readonly low: number;
  readonly high: number;
}

/** What the jobs of one customer look like. */
export interface Profile {
  /** Tasks of a job. */
  readonly sizes: readonly Band[];
  /** Run times on a server of mean speed, in milliseconds. */
  readonly runTimesMs: readonly Band[];
  readonly teams: number;
  /** Share of jobs that are submitted a second time, elsewhere. */
  readonly resubmittedShare: number;
  /** Share of the jobs within reach of a wave that it cancels. */
  readonly cancelledShare: number;
}

const RUN_TIMES_MS: readonly Band[] = [
  {share: 0.97, low: 50, high: 1_000},
  {share: 0.03, low: 1_000, high: 6_000},
];

/** The profiles by name. */
export const PROFILES: Readonly<Record<string, Profile>> = {
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

/** The mean of what is drawn from `bands`. */
export function computeMean(bands: readonly Band[]): number {
  return bands.reduce((sum, {share, low, high}) => {
    return sum + (share * (high - low)) / Math.log(high / low);
  }, 0);
}
