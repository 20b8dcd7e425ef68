/**
 * Simulates commands that got no answer and are executed up to 12 s later,
 * often by the next process of the worker, which knows nothing of before.
 * `PLAY_LATE_SEED` and `PLAY_LATE_COUNT` choose other seeds, `PLAY_ZONES` and
 * `PLAY_INSTANCES` the numbers of zones and of instances in each of them;
 * `PLAY_LATE_KILLS=1` kills processes in place of other faults.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault} from './simulation/fault_kinds.js';
import {simulate, type SimulationResult} from './simulation/simulate.js';
import {lateStartsWorkload} from './simulation/workload.js';

/** Long enough for a command that is executed 12 s late. */
const DURATION_MS = 26_000;

/** Two in three faults make commands late or restart workers. */
const faultKinds = [
  ...[Fault.LateRequests, Fault.LateRequests, Fault.LateRequests],
  ...[Fault.QuickRestarts, Fault.QuickRestarts, Fault.QuickRestarts],
  Fault.LateRequests,
  Fault.QuickRestarts,
  Fault.CrashWorkers,
  Fault.Kill,
  Fault.PlannedStop,
  Fault.ResetCallers,
];

/** Processes are killed in place of other faults. */
const killFaultKinds = [
  ...[Fault.LateRequests, Fault.LateRequests],
  ...[Fault.QuickRestarts, Fault.QuickRestarts],
  ...[Fault.Kill, Fault.Kill],
];

interface SimulationCase {
  readonly faultKinds?: readonly Fault[];
  readonly seed: number;
  readonly zones: number;
  readonly instances: number;
  /** Why two runs of a task overlapped in it. */
  readonly cause: string;
}

const regressionCases: readonly SimulationCase[] = [
  {
    seed: 1,
    cause: 'an answer to a repeated start settles the first one',
  },
  {seed: 2, cause: 'none'},
  {seed: 7, cause: 'a stop that is taken settles a start'},
  {
    seed: 8,
    cause: 'another zone knows of no start without an answer',
  },
  {
    seed: 11,
    cause: 'a run that ends settles the first of its start requests',
  },
  {
    seed: 95003,
    cause: 'the instances that knew of a start are killed',
    faultKinds: killFaultKinds,
  },
].map(entry => ({...entry, zones: 3, instances: 3}));

const {PLAY_LATE_SEED, PLAY_LATE_COUNT = '1'} = process.env;
const {PLAY_ZONES = '3', PLAY_INSTANCES = '3'} = process.env;
const requestedFaultKinds =
  process.env['PLAY_LATE_KILLS'] === '1' ? killFaultKinds : faultKinds;

/** Creates the simulations that are requested by environment variables. */
function createRequestedCases(firstSeed: number): readonly SimulationCase[] {
  return Array.from({length: Number(PLAY_LATE_COUNT)}, (_, index) => ({
    seed: firstSeed + index,
    zones: Number(PLAY_ZONES),
    instances: Number(PLAY_INSTANCES),
    cause: 'requested',
    faultKinds: requestedFaultKinds,
  }));
}

const cases =
  PLAY_LATE_SEED === undefined
    ? regressionCases
    : createRequestedCases(Number(PLAY_LATE_SEED));
for (const simulation of cases) testCase(simulation);

function testCase(simulation: SimulationCase): void {
  const {seed, zones, cause} = simulation;
  let result: Promise<SimulationResult> | undefined;
  const getResult = () => (result ??= run(simulation));

  test(`no task has two runs at a time while commands are late in simulation ${seed} of ${zones} zones: ${cause}`, async () => {
    const {violations, startCount} = await getResult();
    assert.ok(startCount > 0);
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
  });

  test(`no task is sent to a known worker without its label in simulation ${seed} of ${zones} zones`, async () => {
    const {labelViolations, labelledStartCount} = await getResult();
    assert.ok(labelledStartCount > 0);
    const [first] = labelViolations;
    if (first !== undefined) assert.fail(first);
  });
}

function run({seed, zones, instances, ...options}: SimulationCase) {
  return simulate({
    seed,
    zones,
    instances,
    faultKinds: options.faultKinds ?? faultKinds,
    workload: lateStartsWorkload,
    durationMs: DURATION_MS,
  });
}
