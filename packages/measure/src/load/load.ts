/**
 * A seeded open-loop load: jobs arrive at random times, independent of
 * responses.
 */
import {
  computeMean,
  type LogUniformRange,
  type LoadProfile,
} from './profiles.js';
import {
  createRandom,
  drawLogUniform,
  drawWeightedIndex,
  type Random,
} from './random.js';

const MILLIS_PER_SECOND = 1_000;
/** Declared run times are too long or too short by up to this factor. */
const MAX_DECLARED_ERROR_FACTOR = 4;
const CANCEL_WAVE_COUNT = 2;
/** A cancellation wave only cancels jobs younger than this. */
const WAVE_MAX_JOB_AGE_MS = 500;

/** One task of a generated job. */
export interface LoadTask {
  /** Run time on a server of speed 1, in milliseconds. */
  readonly workMs: number;
  readonly declaredMs: number;
}

/** One generated job. */
export interface LoadJob {
  readonly key: string;
  /** Arrival after the start of the load, in milliseconds. */
  readonly atMs: number;
  /** Index of the entry instance that its caller is connected to. */
  readonly entry: number;
  readonly team: string;
  readonly tasks: readonly LoadTask[];
  /**
   * Index of the entry instance that gets a second copy; undefined for none.
   */
  readonly copyEntry: number | undefined;
  /**
   * Time since the start of the load at which its caller cancels it, if it
   * does.
   */
  readonly cancelAtMs: number | undefined;
}

/** Options of a generated load. */
export interface LoadOptions {
  readonly profile: LoadProfile;
  readonly seed: number;
  readonly seconds: number;
  /** Mean load as a share of the capacity. */
  readonly load: number;
  /** Sum of the speeds of all slots. */
  readonly capacity: number;
  readonly meanSpeed: number;
  /** Weight of each entry instance; instances get jobs in proportion. */
  readonly weights: readonly number[];
}

/** Generates the jobs of a load, in order of arrival. */
export function createLoad(options: LoadOptions): LoadJob[] {
  const {profile, seed, seconds, load, capacity, meanSpeed} = options;
  const random = createRandom(seed);
  const meanWorkMs = computeMean(profile.runTimesMs) * meanSpeed;
  // Sizes are rounded down, which lowers their mean by 0.5.
  const meanSize = computeMean(profile.sizes) - 0.5;
  const jobsPerMs = (load * capacity) / meanWorkMs / meanSize;
  const endMs = seconds * MILLIS_PER_SECOND;
  const jobs: LoadJob[] = [];
  let atMs = 0;
  for (;;) {
    atMs -= Math.log(1 - random()) / jobsPerMs;
    if (atMs >= endMs) return jobs;
    jobs.push(drawJob(options, random, jobs.length, atMs));
  }
}

function drawJob(
  {profile, seed, seconds, meanSpeed, weights}: LoadOptions,
  random: Random,
  index: number,
  atMs: number,
): LoadJob {
  const size = Math.floor(drawFromRanges(random, profile.sizes));
  const tasks = Array.from({length: size}, () => {
    const workMs = drawFromRanges(random, profile.runTimesMs) * meanSpeed;
    return {workMs, declaredMs: drawDeclaredMs(random, workMs)};
  });
  const entry = drawWeightedIndex(random, weights);
  const copyEntry = (entry + 1 + Math.floor(random() * 2)) % weights.length;
  const isCopied = random() < profile.resubmittedShare;
  const waveMs = (seconds * MILLIS_PER_SECOND) / (CANCEL_WAVE_COUNT + 1);
  const nextWaveMs = Math.ceil(atMs / waveMs) * waveMs;
  const isInWave = nextWaveMs - atMs < WAVE_MAX_JOB_AGE_MS;
  const isCancelled = random() < profile.cancelledShare && isInWave;
  return {
    key: `job-${seed}-${index}`,
    atMs,
    entry,
    team: `team-${Math.floor(random() * profile.teams) + 1}`,
    tasks,
    copyEntry: isCopied ? copyEntry : undefined,
    cancelAtMs: isCancelled ? nextWaveMs : undefined,
  };
}

function drawDeclaredMs(random: Random, workMs: number): number {
  const factor = drawLogUniform(
    random,
    1 / MAX_DECLARED_ERROR_FACTOR,
    MAX_DECLARED_ERROR_FACTOR,
  );
  return Math.max(1, Math.round(workMs * factor));
}

function drawFromRanges(
  random: Random,
  ranges: readonly LogUniformRange[],
): number {
  const index = drawWeightedIndex(
    random,
    ranges.map(({share}) => share),
  );
  const {low, high} = ranges[index] ?? {low: 1, high: 1};
  return drawLogUniform(random, low, high);
}
