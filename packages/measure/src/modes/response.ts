/**
 * Response times of one policy, or of two in turn, compared with the baselines.
 */
import type {Lifecycle} from '@goldcrestpier/runtime';
import type {PolicyKind} from '@goldcrestpier/settings';
import {
  launchMeasuredCluster,
  setPolicy,
  type MeasuredCluster,
} from '../cluster/index.js';
import {createLoad, type LoadJob} from '../load/index.js';
import {createReport, printRatios, printReport} from '../report/index.js';
import {runRound, type RoundResult} from '../round/index.js';
import type {MeasureOptions} from './options.js';

const WARM_UP_SECONDS = 5;
const DEADLINE_MS = 60_000;

/** Generates the load of one round for the cluster. */
export function drawLoad(
  options: MeasureOptions,
  measuredCluster: MeasuredCluster,
  seed: number,
  seconds = options.seconds,
  load = options.load,
): LoadJob[] {
  const capacity = measuredCluster.slotSpeeds.reduce(
    (sum, speed) => sum + speed,
    0,
  );
  return createLoad({
    profile: options.hasWaves
      ? options.profile
      : {...options.profile, cancelledShare: 0},
    seed,
    seconds,
    load,
    capacity,
    meanSpeed: capacity / measuredCluster.slotSpeeds.length,
    weights: measuredCluster.weights,
  });
}

/** Launches a cluster with the first of the sizes in `options`. */
export function launchFirstSize(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<MeasuredCluster> {
  const {isRelayed, betweenZonesMs} = options;
  const [entries = 8] = options.entries;
  const [runners = 30] = options.runners;
  return launchMeasuredCluster(
    {entries, runners, isRelayed, betweenZonesMs},
    lifecycle,
  );
}

/** Runs the rounds of each policy in turn, with the same loads. */
export async function measureResponses(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const measuredCluster = await launchFirstSize(options, lifecycle);
  const policies = [options.policy, options.versus].filter(
    policy => policy !== undefined,
  );
  const rounds = new Map<PolicyKind, RoundResult[]>(
    policies.map(each => [each, []]),
  );
  let edits = 0;
  await runPolicyRound(options, measuredCluster, {
    name: 'warm-up',
    round: 0,
    seconds: WARM_UP_SECONDS,
    hasFaults: false,
  });
  for (let round = 1; round <= options.rounds; round += 1) {
    // Each policy is first in every second round.
    const order = round % 2 === 1 ? policies : [...policies].reverse();
    for (const policy of order) {
      edits += 1;
      await setPolicy(measuredCluster, policy, `policy-${edits}`);
      const done = await runPolicyRound(options, measuredCluster, {
        name: `${policy}, round ${round}`,
        round,
        seconds: options.seconds,
        hasFaults: options.hasFaults,
      });
      rounds.get(policy)?.push(done);
    }
  }
  const reports = policies.map(policy =>
    createReport(policy, rounds.get(policy) ?? [], measuredCluster),
  );
  reports.forEach(printReport);
  const [first, second] = reports;
  if (first !== undefined && second !== undefined) printRatios(first, second);
  return {reports};
}

interface PolicyRound {
  readonly name: string;
  readonly round: number;
  readonly seconds: number;
  readonly hasFaults: boolean;
}

/** Runs one round under the policy that is in force. */
function runPolicyRound(
  options: MeasureOptions,
  measuredCluster: MeasuredCluster,
  {name, round, seconds, hasFaults}: PolicyRound,
): Promise<RoundResult> {
  // Rounds of runs with neighbouring seeds get different seeds.
  const seed = options.seed * 100 + round;
  const load = drawLoad(options, measuredCluster, seed, seconds);
  return runRound(measuredCluster, load, {
    name,
    seconds,
    hasFaults,
    isSingleAttempt: false,
    deadlineMs: DEADLINE_MS,
  });
}
