/**
 * Simulates zones of instances, workers and callers in one process. The same
 * seed always gives the same simulation.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {AnswerChecker} from './answer_checker.js';
import {AttendanceChecker, type UnattendedRun} from './attendance_checker.js';
import {OverlapChecker, type Violation} from './checker.js';
import {Callers, type JobTally} from './callers.js';
import {CrashChecker} from './crash_checker.js';
import {scheduleCutOffHolders} from './cut_off_holders.js';
import {
  EvacuationChecker,
  scheduleEvacuation,
  type EvacuationPlan,
} from './evacuation.js';
import type {Fault} from './fault_kinds.js';
import {FaultInjector} from './faults.js';
import {LabelChecker} from './label_checker.js';
import {drainPromises, withSimulatedTime} from './simulated_time.js';
import {Machine, type World} from './machine.js';
import {Network} from './network.js';
import {Random} from './random.js';
import {DelayedRequests} from './request_delays.js';
import {ReturningCallers} from './returning_callers.js';
import {scheduleRollingStops} from './rolling_stops.js';
import {Scheduler} from './scheduler.js';
import {SlowChanges} from './slow_changes.js';
import {SimulatedStore} from './store.js';
import {Timeline} from './timeline.js';
import {scheduleUnheardStops} from './unheard_stops.js';
import {SimulatedWorker, USUAL_TASK_MS} from './worker.js';
import {createUsualKind} from './worker_kinds.js';
import type {Workload} from './workload.js';

const ZONES = ['east', 'north', 'west'];
/** Simulated time that a simulation covers by default. */
const USUAL_DURATION_MS = 16_000;
/** Faults are injected from this time on. */
const FAULTS_START_MS = 3_000;
/** No new faults and no new jobs come in this time before the end. */
const QUIET_END_MS = 4_000;
/** Share of the workers with the label that some jobs require. */
const LABELLED_WORKERS_SHARE = 0.5;

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
  /** Whether holders leave in turn while they hear others too late. */
  readonly hasUnheardStops?: boolean;
  /** Whether holders are cut off in turn from their peers and some workers. */
  readonly hasCutOffHolders?: boolean;
  /** Whether connections between these holders and their peers are refused. */
  readonly areCutsRefused?: boolean;
  /** Whether holders change in turn while workers are slow. */
  readonly hasSlowChanges?: boolean;
  /** Whether callers leave and come back at once, and cancel jobs. */
  readonly hasReturningCallers?: boolean;
  /** When the first zone is evacuated, if it is. */
  readonly evacuation?: EvacuationPlan;
  /** How long a run may go on without a caller; unlimited by default. */
  readonly maxUnattendedMs?: Millis;
  /** Random jobs by default. */
  readonly workload?: Workload | undefined;
  /** Simulated time that the simulation covers. */
  readonly durationMs?: Millis;
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
  /** Tasks that were started on workers without the label they require. */
  readonly labelViolations: readonly string[];
  /** Number of starts of tasks that require a label. */
  readonly labelledStartCount: number;
  /** Runs that went on too long without a caller. */
  readonly unattendedRuns: readonly UnattendedRun[];
  /** What callers were answered, if they come back. */
  readonly answers: AnswerChecker;
  /** What started in and beside the evacuated zone. */
  readonly evacuation: EvacuationChecker;
}

/** Runs the simulation of a seed to its end. */
export async function simulate(
  options: SimulationOptions,
): Promise<SimulationResult> {
  const {seed, durationMs = USUAL_DURATION_MS} = options;
  const {maxUnattendedMs = Infinity} = options;
  const random = new Random(seed);
  const scheduler = new Scheduler();
  const timeline = new Timeline(scheduler);
  const attendance = new AttendanceChecker(timeline, maxUnattendedMs);
  const answers = new AnswerChecker(timeline);
  const checker = new OverlapChecker(timeline, attendance, answers);
  const crashChecker = new CrashChecker(timeline);
  const labelChecker = new LabelChecker(timeline);
  const evacuationChecker = new EvacuationChecker(
    timeline,
    ZONES[0],
    options.evacuation,
  );
  const checkers = {
    checker,
    crashChecker,
    labelChecker,
    evacuationChecker,
    attendance,
    answers,
  };
  let tally: JobTally | undefined;
  const globalRandom = random.fork();
  await withSimulatedTime(
    scheduler,
    () => globalRandom.next(),
    async () => {
      tally = setUpSimulation(options, scheduler, random, timeline, checkers);
      await scheduler.runUntil(durationMs, drainPromises);
    },
  );
  if (tally === undefined) throw new Error('the simulation was not set up');
  return {
    violations: checker.violations,
    tally,
    startCount: checker.startCount,
    crashViolations: crashChecker.violations,
    crashCount: crashChecker.crashCount,
    labelViolations: labelChecker.violations,
    labelledStartCount: labelChecker.startCount,
    unattendedRuns: attendance.violations,
    answers,
    evacuation: evacuationChecker,
  };
}

interface Checkers {
  readonly checker: OverlapChecker;
  readonly crashChecker: CrashChecker;
  readonly labelChecker: LabelChecker;
  readonly evacuationChecker: EvacuationChecker;
  readonly attendance: AttendanceChecker;
  readonly answers: AnswerChecker;
}

function setUpSimulation(
  {
    zones: zoneCount,
    instances,
    faultKinds,
    crashingShare = 0,
    hasRollingStops = false,
    hasUnheardStops = false,
    hasCutOffHolders = false,
    areCutsRefused = false,
    hasSlowChanges = false,
    hasReturningCallers = false,
    evacuation,
    workload,
    durationMs = USUAL_DURATION_MS,
  }: SimulationOptions,
  scheduler: Scheduler,
  random: Random,
  timeline: Timeline,
  checkers: Checkers,
): JobTally {
  const quietFrom = durationMs - QUIET_END_MS;
  const network = new Network(scheduler, random.fork());
  const zones = ZONES.slice(0, zoneCount);
  const workers = new Map<string, SimulatedWorker>();
  for (const zone of zones) {
    const count = random.integer(4, 7);
    for (let index = 0; index < count; index += 1) {
      const id = `${zone}-w${index}`;
      const hasLabel = drawLabel(random, workload);
      const info = createWorkerInfo(id, zone, hasLabel);
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
  const hasEvacuation = evacuation !== undefined;
  const world: World = {...parts, zones, machines, hasEvacuation};
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
  const {attendance, answers} = checkers;
  // Other simulations keep their sequence of random numbers.
  const returns = hasReturningCallers
    ? new ReturningCallers(world, answers)
    : undefined;
  const callers = new Callers(
    world,
    attendance,
    crashingShare,
    workload,
    returns,
  );
  const meanIntervalMs =
    workload?.meanIntervalMs ?? random.between(120, 400) / zones.length;
  scheduler.runAfter(1_000, () => callers.start(meanIntervalMs, quietFrom));
  const faults = new FaultInjector(world, delayedRequests);
  faults.scheduleFaults(FAULTS_START_MS, quietFrom, faultKinds);
  if (evacuation !== undefined) scheduleEvacuation(world, evacuation);
  if (hasRollingStops)
    scheduleRollingStops(world, {from: FAULTS_START_MS, until: quietFrom});
  if (hasUnheardStops)
    scheduleUnheardStops(world, {from: FAULTS_START_MS, until: quietFrom});
  if (hasCutOffHolders)
    scheduleCutOffHolders(
      world,
      {from: FAULTS_START_MS, until: quietFrom},
      areCutsRefused,
    );
  if (hasSlowChanges) {
    const changes = new SlowChanges(world, callers, faults.workerFaults);
    changes.schedule({from: FAULTS_START_MS, until: quietFrom});
  }
  return callers.tally;
}

/** Simulations without labels keep their sequence of random numbers. */
function drawLabel(random: Random, workload: Workload | undefined): boolean {
  const share = workload?.labelledShare ?? 0;
  return share > 0 && random.chance(LABELLED_WORKERS_SHARE);
}

function createWorkerInfo(id: string, zone: string, hasLabel: boolean) {
  const kind = createUsualKind(hasLabel);
  return {id, zone, service: 'pricing', address: `${id}:1`, ...kind};
}
