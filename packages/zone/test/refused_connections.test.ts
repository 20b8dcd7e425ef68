/**
 * Simulates cuts that close and refuse connections while the processes at both
 * ends live. `PLAY_CUTS_SEED` and `PLAY_CUTS_COUNT` choose other seeds,
 * `PLAY_CUTS_FAULTS` the kinds of faults beside the cuts, `PLAY_ZONES` and
 * `PLAY_INSTANCES` the numbers of zones and of instances in each of them.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault} from './simulation/fault_kinds.js';
import {simulate} from './simulation/simulate.js';

/** Faults beside the cuts; half of all faults are cuts. */
const usualFaults = [
  Fault.Kill,
  Fault.PlannedStop,
  Fault.Freeze,
  Fault.ResetCallers,
  Fault.Overload,
  Fault.StoreOutage,
  Fault.LateRequests,
];

const {PLAY_CUTS_SEED = '1', PLAY_CUTS_COUNT = '4'} = process.env;
const {PLAY_CUTS_FAULTS, PLAY_ZONES = '3', PLAY_INSTANCES = '3'} = process.env;

/** Finds the kinds of faults to inject, of which half are cuts. */
function findFaultKinds(): readonly Fault[] {
  const requested = PLAY_CUTS_FAULTS?.split(',') ?? usualFaults;
  const others = Object.values(Fault).filter(kind => requested.includes(kind));
  const cuts = others.map(() => Fault.CutConnections);
  return [...others, ...cuts, Fault.CutConnections];
}

const faultKinds = findFaultKinds();
const firstSeed = Number(PLAY_CUTS_SEED);
const zones = Number(PLAY_ZONES);
for (let index = 0; index < Number(PLAY_CUTS_COUNT); index += 1) {
  const seed = firstSeed + index;
  test(`no task has two runs at a time while connections are refused in simulation ${seed} of ${zones} zones`, async t => {
    const {violations, startCount, tally} = await simulate({
      seed,
      zones,
      instances: Number(PLAY_INSTANCES),
      faultKinds,
    });
    assert.ok(startCount > 0);
    t.diagnostic(JSON.stringify(tally));
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
  });
}
