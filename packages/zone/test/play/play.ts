/** Plays zones of instances, workers and callers in one process, from a seed. */
import {Checker, type Violation} from './checker.js';
import {Callers, type Tally} from './client.js';
import {Fault, Faults, LateOrders} from './faults.js';
import {drainPromises, withSimulatedTime} from './globals.js';
import {Machine, type World} from './machine.js';
import {Network} from './network.js';
import {Random} from './random.js';
import {Scheduler} from './scheduler.js';
import {PlayedStore} from './store.js';
import {TimeLine} from './time_line.js';
import {PlayedWorker} from './worker.js';

/** How long a play goes on. */
const LENGTH_MS = 16_000;
/** Faults come from here on. */
const FAULTS_FROM_MS = 3_000;
/** So long before the end no new faults come, and no jobs after it. */
const CALM_END_MS = 4_000;

/** What is played. */
export interface PlayOptions {
  readonly seed: number;
  readonly zones: number;
  /** Instances of each zone; drawn when not given. */
  readonly instances?: number | undefined;
  readonly kinds: readonly Fault[];
}

/** What came of a play. */
export interface PlayResult {
  readonly violations: readonly Violation[];
  readonly tally: Tally;
  readonly starts: number;
}

/** Plays a seed. */
export async function play(options: PlayOptions): Promise<PlayResult> {
  const {seed} = options;
  const random = new Random(seed);
  const scheduler = new Scheduler();
  const timeLine = new TimeLine(scheduler);
  const checker = new Checker(timeLine);
  let tally: Tally | undefined;
  const draw = random.fork();
  await withSimulatedTime(
    scheduler,
    () => draw.next(),
    async () => {
      tally = begin(options, scheduler, random, timeLine, checker);
      await scheduler.runUntil(LENGTH_MS, drainPromises);
    },
  );
  if (tally === undefined) throw new Error('nothing was played');
  return {violations: checker.violations, tally, starts: checker.starts};
}

function begin(
  {zones: zoneCount, instances, kinds}: PlayOptions,
  scheduler: Scheduler,
  random: Random,
  timeLine: TimeLine,
  checker: Checker,
): Tally {
  const network = new Network(scheduler, random.fork());
  const zones = ['east', 'north', 'west'].slice(0, zoneCount);
  const workers = new Map<string, PlayedWorker>();
  for (const zone of zones) {
    const count = random.whole(4, 7);
    for (let index = 0; index < count; index += 1) {
      const id = `${zone}-w${index}`;
      const info = createInfo(id, zone);
      const options = {info, scheduler, random: random.fork(), checker};
      workers.set(id, new PlayedWorker(options));
    }
  }
  const shared = {scheduler, network, workers};
  const store = new PlayedStore({...shared, random: random.fork()});
  const lateness = new LateOrders();
  const machines: Machine[] = [];
  const parts = {...shared, random, store, lateness, timeLine};
  const world: World = {...parts, zones, machines};
  for (const zone of zones) {
    const count = instances ?? random.whole(2, 3);
    for (let index = 0; index < count; index += 1) {
      const processors = random.pick([1, 1, 1, 0.4]);
      const name = `${zone}-i${index}`;
      machines.push(new Machine(name, zone, processors, world));
    }
  }
  for (const machine of machines) {
    scheduler.later(random.between(0, 300), () => machine.start());
  }
  const callers = new Callers(world);
  const pauseMs = random.between(120, 400) / zones.length;
  scheduler.later(1_000, () => callers.begin(pauseMs, LENGTH_MS - CALM_END_MS));
  const faults = new Faults(world, lateness);
  faults.plan(FAULTS_FROM_MS, LENGTH_MS - CALM_END_MS, kinds);
  return callers.tally;
}

function createInfo(id: string, zone: string) {
  return {
    id,
    zone,
    service: 'pricing',
    address: `${id}:1`,
    capacity: {cpuMillis: 64_000, memoryMb: 100_000, accelerators: 0},
    labels: [],
  };
}
