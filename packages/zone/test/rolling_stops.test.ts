/**
 * Simulates planned stops of all machines one after the other, while one zone
 * delegates tasks to the others and callers use connections to leaving
 * machines. `PLAY_ROLLING_SEED` and `PLAY_ROLLING_COUNT` choose other seeds,
 * `PLAY_ROLLING_FAULTS` other faults.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault} from './simulation/fault_kinds.js';
import {simulate} from './simulation/simulate.js';
import {crowdedWorkload} from './simulation/workload.js';

const ZONES = 3;
const INSTANCES = 3;

interface RollingCase {
  readonly seed: number;
  readonly faultKinds: readonly Fault[];
}

/** KNOWN-RED.txt says what was seen in each of them. */
const regressionCases = [2026, 2066, 2137].map((seed): RollingCase => {
  const {PlannedStop, ResetCallers, Overload, Freeze} = Fault;
  return {seed, faultKinds: [PlannedStop, ResetCallers, Overload, Freeze]};
});

const {PLAY_ROLLING_SEED, PLAY_ROLLING_COUNT = '3'} = process.env;
const {PLAY_ROLLING_FAULTS = Fault.PlannedStop} = process.env;

function parseFaults(text: string): readonly Fault[] {
  const kinds = Object.values(Fault);
  return text
    .split(',')
    .flatMap(name => kinds.filter(kind => String(kind) === name));
}

const faultKinds = parseFaults(PLAY_ROLLING_FAULTS);
const firstSeed = Number(PLAY_ROLLING_SEED ?? 1);
const requested = Array.from(
  {length: Number(PLAY_ROLLING_COUNT)},
  (_, index): RollingCase => ({seed: firstSeed + index, faultKinds}),
);
const cases =
  PLAY_ROLLING_SEED === undefined
    ? [...requested, ...regressionCases]
    : requested;

for (const {seed, faultKinds: kinds} of cases) {
  test(`no task has two runs at a time while all instances are stopped in turn in simulation ${seed}`, async () => {
    const {violations, startCount, tally} = await simulate({
      seed,
      zones: ZONES,
      instances: INSTANCES,
      faultKinds: kinds,
      hasRollingStops: true,
      workload: crowdedWorkload,
    });
    assert.ok(startCount > 0);
    assert.ok(tally.completed > 0);
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
  });
}
