/** The workload of a trial: job arrivals and simulated servers. */
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind} from '@goldcrestpier/protocol';
import {createRandom, drawLogUniform, type Random} from './random.js';

/** One task of the workload. */
export interface Arrival {
  readonly atMs: number;
  /** Index of the instance that the client is connected to. */
  readonly owner: number;
  readonly job: number;
  readonly team: string;
  /** Run time on a server of mean speed. */
  readonly workMs: number;
  readonly declaredMs: number;
}

/** A server and its actual speed; the mean speed is 1. */
export interface SimulatedServer {
  readonly server: Server;
  readonly speed: number;
}

/** Options of a trial. */
export interface TrialOptions {
  readonly seed: number;
  readonly load: number;
  readonly seconds: number;
  readonly owners: number;
  readonly runners: number;
  readonly slots: number;
}

export const ZONES = ['zone-a', 'zone-b', 'zone-c'];
export const POOL = 'runner/quotes';
const MIN_SPEED = 0.5;
const MAX_SPEED = 1.5;
const LONG_SHARE = 0.03;
const TEAMS = 8;

/** Creates runners with evenly spread speeds, up to 3 times the slowest. */
export function createServers(options: TrialOptions): SimulatedServer[] {
  return Array.from({length: options.runners}, (_, i) => {
    const rank = Math.floor(i / ZONES.length);
    const ranks = Math.max(Math.ceil(options.runners / ZONES.length) - 1, 1);
    return {
      server: {
        name: `runner-${i}`,
        kind: BackendKind.Runner,
        zone: ZONES[i % ZONES.length] ?? '',
        pool: POOL,
        address: `127.0.0.1:${20_000 + i}`,
        state: ServerState.Live,
        slots: options.slots,
        processors: 0,
        memoryMb: 0,
        accelerators: 0,
        rack: undefined,
      },
      speed: MIN_SPEED + ((MAX_SPEED - MIN_SPEED) * rank) / ranks,
    };
  });
}

/** Creates Poisson job arrivals; most jobs have one task, some have many. */
export function createArrivals(options: TrialOptions): Arrival[] {
  const random = createRandom(options.seed);
  const capacity = createServers(options).reduce(
    (sum, {speed, server}) => sum + speed * server.slots,
    0,
  );
  const tasksPerMs = (options.load * capacity) / meanWorkMs();
  const jobsPerMs = tasksPerMs / meanJobSize();
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (let job = 0; ; job += 1) {
    atMs += -Math.log(1 - random()) / jobsPerMs;
    if (atMs >= options.seconds * 1_000) return arrivals;
    const owner = Math.floor(random() * options.owners);
    const team = `team-${Math.floor(random() * TEAMS)}`;
    for (let i = drawJobSize(random); i > 0; i -= 1) {
      const workMs = drawWork(random);
      // Declared run times are off by up to a factor of two either way.
      const declaredMs = workMs * drawLogUniform(random, 0.5, 2);
      arrivals.push({atMs, owner, job, team, workMs, declaredMs});
    }
  }
}

function drawWork(random: Random): number {
  return random() < LONG_SHARE
    ? drawLogUniform(random, 1_000, 6_000)
    : drawLogUniform(random, 50, 1_000);
}

function meanWorkMs(): number {
  const mean = (low: number, high: number) =>
    (high - low) / Math.log(high / low);
  return LONG_SHARE * mean(1_000, 6_000) + (1 - LONG_SHARE) * mean(50, 1_000);
}

const JOB_SIZES: ReadonlyArray<readonly [size: number, share: number]> = [
  [1, 0.85],
  [8, 0.13],
  [40, 0.02],
];

function drawJobSize(random: Random): number {
  let left = random();
  for (const [size, share] of JOB_SIZES) {
    left -= share;
    if (left < 0) return size;
  }
  return 1;
}

function meanJobSize(): number {
  return JOB_SIZES.reduce((sum, [size, share]) => sum + size * share, 0);
}
