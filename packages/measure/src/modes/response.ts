/** Response times of one policy, or of two in turn, against the ideals. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import type {PolicyKind} from '@goldcrestpier/settings';
import {launchFleet, setPolicy, type Fleet} from '../cluster/index.js';
import {createLoad, type LoadJob} from '../load/index.js';
import {createReport, printRatio, printReport} from '../report/index.js';
import {runRound, type Round} from '../round/index.js';
import type {MeasureOptions} from './options.js';

const WARM_UP_SECONDS = 5;
const DEADLINE_MS = 60_000;

/** Draws the load of one round over `fleet`. */
export function drawLoad(
  options: MeasureOptions,
  fleet: Fleet,
  seed: number,
  seconds = options.seconds,
  load = options.load,
): LoadJob[] {
  const capacity = fleet.slotSpeeds.reduce((sum, speed) => sum + speed, 0);
  return createLoad({
    profile: options.hasWaves
      ? options.profile
      : {...options.profile, cancelledShare: 0},
    seed,
    seconds,
    load,
    capacity,
    meanSpeed: capacity / fleet.slotSpeeds.length,
    weights: fleet.weights,
  });
}

/** Launches the cluster of `options`, at its first size. */
export function launchFirst(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<Fleet> {
  const {isRelayed, betweenZonesMs} = options;
  const [entries = 8] = options.entries;
  const [runners = 30] = options.runners;
  return launchFleet({entries, runners, isRelayed, betweenZonesMs}, lifecycle);
}

/** Runs the rounds of each policy in turn, over the same loads. */
export async function measureResponses(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const fleet = await launchFirst(options, lifecycle);
  const policies = [options.policy, options.versus].filter(
    policy => policy !== undefined,
  );
  const rounds = new Map<PolicyKind, Round[]>(policies.map(each => [each, []]));
  let edits = 0;
  await run('warm-up', 0, WARM_UP_SECONDS, false);
  for (let round = 1; round <= options.rounds; round += 1) {
    // Each goes first in every second round.
    const order = round % 2 === 1 ? policies : [...policies].reverse();
    for (const policy of order) {
      edits += 1;
      await setPolicy(fleet, policy, `policy-${edits}`);
      const done = await run(
        `${policy}, round ${round}`,
        round,
        options.seconds,
        options.hasFaults,
      );
      rounds.get(policy)?.push(done);
    }
  }
  const reports = policies.map(policy =>
    createReport(policy, rounds.get(policy) ?? [], fleet),
  );
  reports.forEach(printReport);
  const [first, second] = reports;
  if (first !== undefined && second !== undefined) printRatio(first, second);
  return {reports};

  function run(
    name: string,
    round: number,
    seconds: number,
    hasFaults: boolean,
  ): Promise<Round> {
    // Seeds of rounds stay apart from those of neighbouring runs.
    const load = drawLoad(options, fleet, options.seed * 100 + round, seconds);
    const deadlineMs = DEADLINE_MS;
    const choice = {name, seconds, hasFaults, isTriedOnce: false, deadlineMs};
    return runRound(fleet, load, choice);
  }
}
