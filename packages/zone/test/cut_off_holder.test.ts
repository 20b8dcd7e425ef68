/**
 * Simulates holders that are cut off from their peers and from some workers at
 * once, while callers and other zones reach them. `PLAY_CUT_SEED` and
 * `PLAY_CUT_COUNT` choose other seeds, `PLAY_CUT_INSTANCES` the instances of a
 * zone, `PLAY_CUT_LONG` tasks that outlast a lease, and `PLAY_CUT_REFUSED` cuts
 * that refuse the connections between holders and peers.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault} from './simulation/fault_kinds.js';
import {simulate} from './simulation/simulate.js';
import {crowdedWorkload, longTasksWorkload} from './simulation/workload.js';

const ZONES = 3;

interface SimulationCase {
  readonly seed: number;
  readonly instances: number;
  /** Whether tasks outlast a lease. */
  readonly isLong: boolean;
  /** Whether connections between a holder and its peers are refused. */
  readonly isRefused: boolean;
}

const {
  PLAY_CUT_SEED,
  PLAY_CUT_COUNT = '1',
  PLAY_CUT_INSTANCES = '3',
} = process.env;
const {PLAY_CUT_LONG, PLAY_CUT_REFUSED} = process.env;

/**
 * In 1008 a holder that was frozen started a task as it woke; in the others a
 * successor extended the lease of a run of a cut-off holder.
 */
const regressionCases = [2, 3, 5, 1007, 1008].map((seed): SimulationCase => ({
  seed,
  instances: 3,
  isLong: true,
  isRefused: false,
}));

/** A holder takes refused peers for no holders, and a delegated run for over. */
const refusedCase = {seed: 5004, instances: 3, isLong: true, isRefused: true};

/** Creates the simulations that are requested by environment variables. */
function createRequestedCases(firstSeed: number): readonly SimulationCase[] {
  return Array.from({length: Number(PLAY_CUT_COUNT)}, (_, index) => ({
    seed: firstSeed + index,
    instances: Number(PLAY_CUT_INSTANCES),
    isLong: PLAY_CUT_LONG !== undefined,
    isRefused: PLAY_CUT_REFUSED !== undefined,
  }));
}

const cases =
  PLAY_CUT_SEED === undefined
    ? [...regressionCases, refusedCase]
    : createRequestedCases(Number(PLAY_CUT_SEED));
for (const {seed, instances, isLong, isRefused} of cases) {
  test(`no task has two runs at a time while holders are cut off in simulation ${seed} of ${instances} instances a zone, long tasks ${isLong}${isRefused ? ', connections refused' : ''}`, async context => {
    const {violations, startCount, tally} = await simulate({
      seed,
      zones: ZONES,
      instances,
      faultKinds: [Fault.PartitionFromStore],
      hasCutOffHolders: true,
      areCutsRefused: isRefused,
      workload: isLong ? longTasksWorkload : crowdedWorkload,
    });
    context.diagnostic(`${tally.completed} of ${tally.jobs} jobs completed`);
    assert.ok(startCount > 0);
    assert.ok(tally.completed > 0);
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
  });
}
