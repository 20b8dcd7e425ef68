import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault, listFaults} from './simulation/fault_kinds.js';
import {simulate} from './simulation/simulate.js';

/** A simulation, and why two runs of a task overlapped in it before the fix. */
interface SimulationCase {
  readonly seed: number;
  readonly zones: number;
  /** Instances of each zone; random when not given. */
  readonly instances?: number;
  readonly cause: string;
}

const regressionCases: readonly SimulationCase[] = [
  {
    seed: 3037,
    zones: 3,
    cause: 'a postponed job runs on after its caller stopped waiting',
  },
  {seed: 21, zones: 1, cause: 'a worker restarts with the same id'},
  {
    seed: 94,
    zones: 1,
    cause: 'a lease is computed from an old reading of a slow clock',
  },
  {seed: 97, zones: 1, cause: 'a new holder has not polled all workers'},
  {
    seed: 73,
    zones: 2,
    cause: 'the old holder continues while the new one is partitioned',
  },
  {
    seed: 5104,
    zones: 3,
    cause: 'a new holder extends leases of unclaimed runs',
  },
  {
    seed: 9101,
    zones: 3,
    cause: 'a start request extends leases of unclaimed runs',
  },
  {
    seed: 7,
    zones: 2,
    instances: 6,
    cause: 'none; most instances are followers',
  },
  {
    seed: 73021,
    zones: 3,
    instances: 3,
    cause: 'a job is read and started after its caller has left',
  },
  {
    seed: 73154,
    zones: 3,
    instances: 3,
    cause: 'a start that is late by the clock of the worker before is valid',
  },
  {
    seed: 73188,
    zones: 3,
    instances: 3,
    cause: 'a wanted run on its worker extends the lease of an unclaimed run',
  },
];
const {PLAY_SEED, PLAY_COUNT = '1', PLAY_ZONES, PLAY_HELD} = process.env;
const {PLAY_INSTANCES, PLAY_LATE} = process.env;
/**
 * `PLAY_HELD` adds messages that arrive after their connection was closed,
 * `PLAY_LATE` late requests that reach the next process of a worker.
 */
const faultKinds = listFaults([
  ...(PLAY_HELD === undefined ? [] : [Fault.DeliverStale]),
  ...(PLAY_LATE === undefined ? [] : [Fault.LateRequests, Fault.QuickRestarts]),
]);

/** Creates the simulations that are requested by environment variables. */
function createRequestedCases(firstSeed: number): readonly SimulationCase[] {
  return Array.from({length: Number(PLAY_COUNT)}, (_, index) => {
    const seed = firstSeed + index;
    const zones = Number(PLAY_ZONES ?? 1 + (seed % 3));
    const instanceOption =
      PLAY_INSTANCES === undefined ? {} : {instances: Number(PLAY_INSTANCES)};
    return {seed, zones, ...instanceOption, cause: 'requested'};
  });
}

const cases =
  PLAY_SEED === undefined
    ? regressionCases
    : createRequestedCases(Number(PLAY_SEED));
for (const {seed, zones, instances, cause} of cases) {
  test(`no task has two runs at a time in simulation ${seed} of ${zones} zones: ${cause}`, async () => {
    const {violations, startCount} = await simulate({
      seed,
      zones,
      instances,
      faultKinds,
    });
    assert.ok(startCount > 0);
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
  });
}
