/**
 * Simulates zones of instances, workers and callers in one process. The same
 * seed always gives the same simulation.
 */
import {OverlapChecker, type Violation} from './checker.js';
import {Callers, type JobTally, type Workload} from './callers.js';
import {CrashChecker} from './crash_checker.js';
import {Fault, FaultInjector, DelayedRequests} from './faults.js';
import {drainPromises, withSimulatedTime} from './simulated_time.js';
import {Machine, type World} from './machine.js';
import {Network} from './network.js';
import {Random} from './random.js';
import {scheduleRollingStops} from './rolling_stops.js';
import {Scheduler} from './scheduler.js';
import {SimulatedStore} from './store.js';
import {Timeline} from './timeline.js';
import {SimulatedWorker, USUAL_TASK_MS} from './worker.js';

/** Simulated time that a simulation covers. */
const DURATION_MS = 16_000;
/** Faults are injected from this time on. */
const FAULTS_START_MS = 3_000;
/** No new faults and no new jobs come in this time before the end. */
const QUIET_END_MS = 4_000;

/** Parameters of a simulation. */
export interface SimulationOptions {
  readonly seed: number;
  readonly zones: number;
  /** Instances of each zone; random when not given. */
  readonly instances?: number | undefined;
  readonly faultKinds: readonly Fault[];
  /** Share of the jobs that crash the workers that start them; 0 by default. */
  readonly crashingShare?: number;
  /** Whether all machines are stopped one after the other. */
  readonly hasRollingStops?: boolean;
  /** Random jobs by default. */
  readonly workload?: Workload | undefined;
}

/** The outcome of a simulation. */
export interface SimulationResult {
  readonly violations: readonly Violation[];
  readonly tally: JobTally;
  readonly startCount: number;
  /** Tasks that crashed workers and were started too often. */
  readonly crashViolations: readonly string[];
  /** Number of workers that tasks have crashed. */
  readonly crashCount: number;
}

/** Runs the simulation of a seed to its end. */
export async function simulate(
  options: SimulationOptions,
): Promise<SimulationResult> {
  const {seed} = options;
  const random = new Random(seed);
  const scheduler = new Scheduler();
  const timeline = new Timeline(scheduler);
  const checker = new OverlapChecker(timeline);
  const crashChecker = new CrashChecker(timeline);
  const checkers = {checker, crashChecker};
  let tally: JobTally | undefined;
  const globalRandom = random.fork();
  await withSimulatedTime(
    scheduler,
    () => globalRandom.next(),
    async () => {
      tally = setUpSimulation(options, scheduler, random, timeline, checkers);
      await scheduler.runUntil(DURATION_MS, drainPromises);
    },
  );
  if (tally === undefined) throw new Error('the simulation was not set up');
  return {
    violations: checker.violations,
    tally,
    startCount: checker.startCount,
    crashViolations: crashChecker.violations,
    crashCount: crashChecker.crashCount,
  };
}

interface Checkers {
  readonly checker: OverlapChecker;
  readonly crashChecker: CrashChecker;
}

function setUpSimulation(
  {
    zones: zoneCount,
    instances,
    faultKinds,
    crashingShare = 0,
    hasRollingStops = false,
    workload,
  }: SimulationOptions,
  scheduler: Scheduler,
  random: Random,
  timeline: Timeline,
  checkers: Checkers,
): JobTally {
  const network = new Network(scheduler, random.fork());
  const zones = ['east', 'north', 'west'].slice(0, zoneCount);
  const workers = new Map<string, SimulatedWorker>();
  for (const zone of zones) {
    const count = random.integer(4, 7);
    for (let index = 0; index < count; index += 1) {
      const id = `${zone}-w${index}`;
      const info = createWorkerInfo(id, zone);
      const options = {
        info,
        scheduler,
        random: random.fork(),
        taskMs: workload?.estimateMs ?? USUAL_TASK_MS,
        ...checkers,
        crash: (worker: SimulatedWorker) => faults.crash(worker),
      };
      workers.set(id, new SimulatedWorker(options));
    }
  }
  const shared = {scheduler, network, workers};
  const store = new SimulatedStore({...shared, random: random.fork()});
  const delayedRequests = new DelayedRequests();
  const machines: Machine[] = [];
  const parts = {
    ...shared,
    random,
    store,
    requestDelays: delayedRequests,
    timeline,
  };
  const world: World = {...parts, zones, machines};
  for (const zone of zones) {
    const count = instances ?? random.integer(2, 3);
    for (let index = 0; index < count; index += 1) {
      const processors = random.pick([1, 1, 1, 0.4]);
      const name = `${zone}-i${index}`;
      machines.push(new Machine(name, zone, processors, world));
    }
  }
  for (const machine of machines) {
    scheduler.runAfter(random.between(0, 300), () => machine.start());
  }
  const callers = new Callers(world, crashingShare, workload);
  const meanIntervalMs =
    workload?.meanIntervalMs ?? random.between(120, 400) / zones.length;
  scheduler.runAfter(1_000, () =>
    callers.start(meanIntervalMs, DURATION_MS - QUIET_END_MS),
  );
  const faults = new FaultInjector(world, delayedRequests);
  faults.scheduleFaults(
    FAULTS_START_MS,
    DURATION_MS - QUIET_END_MS,
    faultKinds,
  );
  if (hasRollingStops) {
    const until = DURATION_MS - QUIET_END_MS;
    scheduleRollingStops(world, {from: FAULTS_START_MS, until});
  }
  return callers.tally;
}

function createWorkerInfo(id: string, zone: string) {
  return {
    id,
    zone,
    service: 'pricing',
    address: `${id}:1`,
    capacity: {cpuMillis: 64_000, memoryMb: 100_000, accelerators: 0},
    labels: [],
  };
}
