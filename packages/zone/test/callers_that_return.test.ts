/**
 * Simulates callers that leave and send the same job again at once, some while
 * their disconnect is noticed late, and requests that cancel jobs, beside changes
 * of holder. `PLAY_RETURN_SEED` and `PLAY_RETURN_COUNT` choose other seeds,
 * `PLAY_RETURN_FAULTS` other faults.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RESEND_DELAY_MS} from './simulation/callers.js';
import {Fault} from './simulation/fault_kinds.js';
import {simulate} from './simulation/simulate.js';
import {crowdedWorkload} from './simulation/workload.js';

const usualFaults: readonly Fault[] = [
  Fault.Kill,
  Fault.PlannedStop,
  Fault.Freeze,
  Fault.Overload,
  Fault.DelayMachine,
  Fault.PartitionZones,
  Fault.ResetCallers,
  Fault.CutConnections,
  Fault.DeliverStale,
];

interface SimulationCase {
  readonly seed: number;
  /** What went wrong in it. */
  readonly cause: string;
}

const regressionCases: readonly SimulationCase[] = [
  {seed: 2, cause: 'none'},
  {seed: 3, cause: 'a kept cancellation meets the next request'},
  {seed: 4, cause: 'none'},
  {seed: 8, cause: 'its instance forgets what may run as its caller leaves'},
  {seed: 1070, cause: 'its instance forgets what may run as its caller leaves'},
  {seed: 1172, cause: 'its instance forgets what may run as its caller leaves'},
];

const {PLAY_RETURN_SEED, PLAY_RETURN_COUNT = '1'} = process.env;
const {PLAY_RETURN_FAULTS} = process.env;

function parseFaults(text: string): readonly Fault[] {
  const names = text.split(',');
  return Object.values(Fault).filter(kind => names.includes(kind));
}

const faultKinds =
  PLAY_RETURN_FAULTS === undefined
    ? usualFaults
    : parseFaults(PLAY_RETURN_FAULTS);

/** Creates the simulations that are requested by environment variables. */
function createRequestedCases(firstSeed: number): readonly SimulationCase[] {
  return Array.from({length: Number(PLAY_RETURN_COUNT)}, (_, index) => ({
    seed: firstSeed + index,
    cause: 'requested',
  }));
}

const cases =
  PLAY_RETURN_SEED === undefined
    ? regressionCases
    : createRequestedCases(Number(PLAY_RETURN_SEED));
for (const {seed, cause} of cases) {
  const zones = 1 + (seed % 3);
  test(`callers that leave and come back are answered for their own requests in simulation ${seed} of ${zones} zones: ${cause}`, async context => {
    const {answers, violations, unattendedRuns, ...result} = await simulate({
      seed,
      zones,
      faultKinds,
      hasReturningCallers: true,
      maxUnattendedMs: RESEND_DELAY_MS,
      workload: seed % 2 === 0 ? crowdedWorkload : undefined,
    });
    const {returnCount, answerCount} = answers;
    const counts = `${returnCount} returns, ${answerCount} answers`;
    context.diagnostic(`${counts}, ${result.tally.completed} jobs completed`);
    assert.ok(result.startCount > 0);
    assert.ok(returnCount > 0);
    assert.ok(result.tally.completed > 0);
    const [wrong] = answers.violations;
    if (wrong !== undefined) assert.fail(`${wrong.text}\n${wrong.timeline}`);
    // A zone doesn't know what the caller of a job left in another one.
    const [overlap] = violations.filter(
      ({task}) => !answers.hasChangedZone(task.split('.')[0] ?? ''),
    );
    if (overlap !== undefined)
      assert.fail(`${overlap.text}\n${overlap.timeline}`);
    const [unattended] = unattendedRuns;
    if (unattended !== undefined)
      assert.fail(`${unattended.text}\n${unattended.timeline}`);
  });
}
