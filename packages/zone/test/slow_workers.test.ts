/**
 * Simulates workers that slow down, stand still or answer late while the holders
 * of the zones change in turn and callers use instances that are about to exit.
 * `PLAY_SLOW_SEED` and `PLAY_SLOW_COUNT` choose other seeds,
 * `PLAY_SLOW_INSTANCES` the instances of each zone, `PLAY_SLOW_FAULTS` other
 * faults beside.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RESEND_DELAY_MS} from './simulation/callers.js';
import {Fault} from './simulation/fault_kinds.js';
import {simulate} from './simulation/simulate.js';
import {crowdedLongWorkload, crowdedWorkload} from './simulation/workload.js';

const ZONES = 3;
const usualFaults: readonly Fault[] = [
  Fault.SlowWorkers,
  Fault.StandingWorkers,
  Fault.LateAnswers,
  Fault.LongTasks,
  Fault.ResetCallers,
  Fault.PlannedStop,
];

interface SimulationCase {
  readonly seed: number;
  /** Instances of each zone. */
  readonly instances: number;
  /** Why two runs of a task overlapped in it. */
  readonly cause: string;
}

const regressionCases: readonly SimulationCase[] = [
  {seed: 1, instances: 3, cause: 'none'},
  {
    seed: 409,
    instances: 2,
    cause: 'a holder steps down while a cancelled job runs in a silent zone',
  },
  {seed: 721, instances: 2, cause: 'a recall is heard late'},
];

const {PLAY_SLOW_SEED, PLAY_SLOW_COUNT = '1'} = process.env;
const {PLAY_SLOW_INSTANCES = '3', PLAY_SLOW_FAULTS} = process.env;

function parseFaults(text: string): readonly Fault[] {
  const names = text.split(',');
  return Object.values(Fault).filter(kind => names.includes(kind));
}

const faultKinds =
  PLAY_SLOW_FAULTS === undefined ? usualFaults : parseFaults(PLAY_SLOW_FAULTS);

/** Creates the simulations that are requested by environment variables. */
function createRequestedCases(firstSeed: number): readonly SimulationCase[] {
  return Array.from({length: Number(PLAY_SLOW_COUNT)}, (_, index) => ({
    seed: firstSeed + index,
    instances: Number(PLAY_SLOW_INSTANCES),
    cause: 'requested',
  }));
}

const cases =
  PLAY_SLOW_SEED === undefined
    ? regressionCases
    : createRequestedCases(Number(PLAY_SLOW_SEED));
for (const {seed, instances, cause} of cases) {
  test(`no task has two runs at a time, or a run when its caller may send the job again, while holders change beside slow workers in simulation ${seed}: ${cause}`, async () => {
    const {violations, unattendedRuns, startCount, tally} = await simulate({
      seed,
      zones: ZONES,
      instances,
      faultKinds,
      hasSlowChanges: true,
      maxUnattendedMs: RESEND_DELAY_MS,
      workload: seed % 2 === 0 ? crowdedWorkload : crowdedLongWorkload,
    });
    assert.ok(startCount > 0);
    assert.ok(tally.completed > 0);
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeline}`);
    const [unattended] = unattendedRuns;
    if (unattended !== undefined)
      assert.fail(`${unattended.text}\n${unattended.timeline}`);
  });
}
