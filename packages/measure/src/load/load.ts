/** The seeded open-loop load: jobs at random times, whatever became of others. */
import {computeMean, type Band, type Profile} from './profiles.js';
import {
  createRandom,
  drawLogarithmic,
  drawWeighted,
  type Random,
} from './random.js';

const MILLIS_PER_SECOND = 1_000;
/** Declared run times are off by this factor at most, both ways. */
const DECLARED_FACTOR = 4;
const CANCEL_WAVES = 2;
/** A wave reaches jobs that are not older than this. */
const WAVE_REACH_MS = 500;

/** One task to come. */
export interface LoadTask {
  /** Run time on a server of speed 1, in milliseconds. */
  readonly workMs: number;
  readonly declaredMs: number;
}

/** One job to come. */
export interface LoadJob {
  readonly key: string;
  /** Since the start of the load, in milliseconds. */
  readonly atMs: number;
  /** Index of the entry instance that its caller is connected to. */
  readonly entry: number;
  readonly team: string;
  readonly tasks: readonly LoadTask[];
  /** Index of the instance that gets a second copy; undefined for none. */
  readonly copyTo: number | undefined;
  /** When its caller cancels it; undefined when it does not. */
  readonly cancelAtMs: number | undefined;
}

/** What a load is drawn from. */
export interface LoadShape {
  readonly profile: Profile;
  readonly seed: number;
  readonly seconds: number;
  /** Share of the capacity. */
  readonly load: number;
  /** Work done at once: the sum of speeds over all slots. */
  readonly capacity: number;
  readonly meanSpeed: number;
  /** Weight of each entry instance. */
  readonly weights: readonly number[];
}

/** Draws the jobs of a load, in the order of their times. */
export function createLoad(shape: LoadShape): LoadJob[] {
  const {profile, seed, seconds, load, capacity, meanSpeed} = shape;
  const random = createRandom(seed);
  const meanWorkMs = computeMean(profile.runTimesMs) * meanSpeed;
  // Sizes are rounded down, which takes a half away on average.
  const meanSize = computeMean(profile.sizes) - 0.5;
  const jobsPerMs = (load * capacity) / meanWorkMs / meanSize;
  const endMs = seconds * MILLIS_PER_SECOND;
  const jobs: LoadJob[] = [];
  let atMs = 0;
  for (;;) {
    atMs -= Math.log(1 - random()) / jobsPerMs;
    if (atMs >= endMs) return jobs;
    jobs.push(drawJob(shape, random, jobs.length, atMs));
  }
}

function drawJob(
  {profile, seed, seconds, meanSpeed, weights}: LoadShape,
  random: Random,
  index: number,
  atMs: number,
): LoadJob {
  const size = Math.floor(drawBand(random, profile.sizes));
  const tasks = Array.from({length: size}, () => {
    const workMs = drawBand(random, profile.runTimesMs) * meanSpeed;
    return {workMs, declaredMs: drawDeclared(random, workMs)};
  });
  const entry = drawWeighted(random, weights);
  const other = (entry + 1 + Math.floor(random() * 2)) % weights.length;
  const isCopied = random() < profile.resubmittedShare;
  const waveMs = (seconds * MILLIS_PER_SECOND) / (CANCEL_WAVES + 1);
  const nextWaveMs = Math.ceil(atMs / waveMs) * waveMs;
  const isReached = nextWaveMs - atMs < WAVE_REACH_MS;
  const isCancelled = random() < profile.cancelledShare && isReached;
  return {
    key: `job-${seed}-${index}`,
    atMs,
    entry,
    team: `team-${Math.floor(random() * profile.teams) + 1}`,
    tasks,
    copyTo: isCopied ? other : undefined,
    cancelAtMs: isCancelled ? nextWaveMs : undefined,
  };
}

function drawDeclared(random: Random, workMs: number): number {
  const factor = drawLogarithmic(random, 1 / DECLARED_FACTOR, DECLARED_FACTOR);
  return Math.max(1, Math.round(workMs * factor));
}

function drawBand(random: Random, bands: readonly Band[]): number {
  const index = drawWeighted(
    random,
    bands.map(({share}) => share),
  );
  const {low, high} = bands[index] ?? {low: 1, high: 1};
  return drawLogarithmic(random, low, high);
}
