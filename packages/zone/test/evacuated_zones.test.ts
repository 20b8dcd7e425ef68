/**
 * Simulates the evacuation of a zone while its holder is killed, is rejected by
 * the store, or restarts without it. `PLAY_EVACUATION_SEED` and
 * `PLAY_EVACUATION_COUNT` choose other seeds.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault} from './simulation/fault_kinds.js';
import {EvacuationFault} from './simulation/evacuation.js';
import {simulate} from './simulation/simulate.js';
import {crowdedWorkload} from './simulation/workload.js';

const ZONES = 3;
const INSTANCES = 3;
const {PLAY_EVACUATION_SEED = '1', PLAY_EVACUATION_COUNT = '1'} = process.env;
const firstSeed = Number(PLAY_EVACUATION_SEED);
const seeds = Array.from(
  {length: Number(PLAY_EVACUATION_COUNT)},
  (_, index) => firstSeed + index,
);

for (const fault of Object.values(EvacuationFault)) {
  for (const seed of seeds) {
    // Guards against a holder that doesn't learn of the evacuation in time.
    test(`nothing starts in an evacuated zone from 5 s after the write on in simulation ${seed}, fault ${fault}`, async context => {
      const {evacuation, violations, tally} = await simulate({
        seed,
        zones: ZONES,
        instances: INSTANCES,
        faultKinds: [Fault.SlowWorkers],
        evacuation: {from: 4_000, until: 13_000, fault},
        workload: crowdedWorkload,
        durationMs: 22_000,
      });
      const {startsBefore, startsAfter, lateStarts, startsElsewhere} =
        evacuation;
      context.diagnostic(
        `${lateStarts} starts within 5 s, ${startsElsewhere} elsewhere, ${tally.completed} of ${tally.jobs} jobs completed`,
      );
      assert.deepEqual(evacuation.violations, []);
      assert.ok(startsBefore > 0);
      assert.ok(startsAfter > 0);
      assert.ok(startsElsewhere > 0);
      const [first] = violations;
      if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
    });
  }
}
