/**
 * Simulates holders that leave while they hear neither their workers nor their
 * successors in time. `PLAY_LEAVING_SEED` and `PLAY_LEAVING_COUNT` choose other
 * seeds.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault} from './simulation/fault_kinds.js';
import {simulate} from './simulation/simulate.js';
import {lateStartsWorkload} from './simulation/workload.js';

const ZONES = 3;
const INSTANCES = 3;

interface SimulationCase {
  readonly seed: number;
  /** Why two runs of a task overlapped in it. */
  readonly cause: string;
}

const regressionCases: readonly SimulationCase[] = [
  {seed: 1, cause: 'none'},
  ...[5, 7, 10, 11, 26].map(seed => ({
    seed,
    cause: 'its successor extends leases that it takes for over',
  })),
];

const {PLAY_LEAVING_SEED, PLAY_LEAVING_COUNT = '1'} = process.env;

/** Creates the simulations that are requested by environment variables. */
function createRequestedCases(firstSeed: number): readonly SimulationCase[] {
  return Array.from({length: Number(PLAY_LEAVING_COUNT)}, (_, index) => ({
    seed: firstSeed + index,
    cause: 'requested',
  }));
}

const cases =
  PLAY_LEAVING_SEED === undefined
    ? regressionCases
    : createRequestedCases(Number(PLAY_LEAVING_SEED));
for (const {seed, cause} of cases) {
  test(`no task has two runs at a time while holders leave unheard in simulation ${seed}: ${cause}`, async () => {
    const {violations, startCount} = await simulate({
      seed,
      zones: ZONES,
      instances: INSTANCES,
      faultKinds: [Fault.ResetCallers],
      hasUnheardStops: true,
      workload: lateStartsWorkload,
    });
    assert.ok(startCount > 0);
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
  });
}
