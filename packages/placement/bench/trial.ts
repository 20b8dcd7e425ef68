/**
 * Compares grants and each baseline policy with an ideal central queue, over
 * the same seeded arrivals. Runs several owners and simulated runners in one
 * process.
 *
 * Run: node packages/placement/dist/bench/trial.js
 *   [policy,...|all] [load] [seconds] [seed] [ms between zones]
 *   [none|slow|failing|frozen]
 */
import {
  BackendKind,
  OutcomeKind,
  type PlacementTask,
} from '@goldcrestpier/protocol';
import {Lifecycle, readClock, sleep} from '@goldcrestpier/runtime';
import {PolicyKind} from '@goldcrestpier/settings';
import {createFleet, TrialFault} from './fleet.js';
import {runIdeal} from './ideal.js';
import {
  createArrivals,
  createServers,
  type Arrival,
  type TrialOptions,
} from './workload.js';

const WARM_UP_MS = 5_000;
const DEADLINE_MS = 60_000;
const SETTLE_MS = 200;

interface TrialResult {
  readonly responses: ReadonlyArray<number | undefined>;
  readonly sent: ReadonlyMap<string, number>;
  readonly wasted: ReadonlyMap<string, number>;
}

async function runPolicy(
  options: TrialOptions,
  policy: PolicyKind,
  betweenZonesMs: number,
  fault: TrialFault,
): Promise<TrialResult> {
  const lifecycle = new Lifecycle('trial');
  const arrivals = createArrivals(options);
  const responses: Array<number | undefined> = arrivals.map(() => undefined);
  const arrivedAt = arrivals.map(() => 0);
  const sent = new Map<string, number>();
  const wasted = new Map<string, number>();
  let unfinished = arrivals.length;
  const startedAt = readClock() + SETTLE_MS;
  const placements = createFleet({
    owners: options.owners,
    servers: createServers(options),
    policy,
    betweenZonesMs,
    fault,
    faultAt: startedAt + WARM_UP_MS,
    lifecycle,
    counters: {
      sent: (kind, by) => sent.set(kind, (sent.get(kind) ?? 0) + by),
      wasted: (kind, by) => wasted.set(kind, (wasted.get(kind) ?? 0) + by),
    },
    onEnd: (task, outcome) => {
      unfinished -= 1;
      if (outcome.kind !== OutcomeKind.Done) return;
      responses[task.index] = readClock() - (arrivedAt[task.index] ?? 0);
    },
  });
  for (let i = 0; i < arrivals.length;) {
    const next = arrivals[i];
    if (next === undefined) break;
    const waitMs = startedAt + next.atMs - readClock();
    if (waitMs > 1) await sleep(waitMs);
    const now = readClock();
    const tasks: PlacementTask[] = [];
    for (; arrivals[i]?.job === next.job; i += 1) {
      arrivedAt[i] = now;
      tasks.push(createTask(arrivals[i] ?? next, i, now));
    }
    const admitted = placements[next.owner]?.enqueue(tasks, now);
    if (admitted?.isOk() !== true) unfinished -= tasks.length;
  }
  const giveUpAt = readClock() + DEADLINE_MS;
  while (unfinished > 0 && readClock() < giveUpAt) await sleep(50);
  await lifecycle.close();
  return {responses, sent, wasted};
}

function createTask(
  arrival: Arrival,
  index: number,
  now: number,
): PlacementTask {
  return {
    id: `s/${arrival.job}#${index}`,
    job: `s/${arrival.job}`,
    index,
    team: arrival.team,
    target: {kind: BackendKind.Runner, service: 'quotes'},
    declaredMs: arrival.declaredMs,
    repeatable: false,
    deadlineAt: now + DEADLINE_MS,
    payload: arrival.workMs,
  };
}

interface Summary {
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

function summarize(values: readonly number[]): Summary {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(Math.floor(sorted.length * share), sorted.length - 1)] ?? 0;
  const mean = sorted.reduce((sum, each) => sum + each, 0) / sorted.length;
  return {mean, p50: at(0.5), p95: at(0.95), p99: at(0.99)};
}

function report(
  options: TrialOptions,
  policy: PolicyKind,
  result: TrialResult,
): void {
  const arrivals = createArrivals(options);
  const ideal = runIdeal(arrivals, createServers(options));
  const isCounted = (_: unknown, i: number) =>
    (arrivals[i]?.atMs ?? 0) >= WARM_UP_MS && result.responses[i] !== undefined;
  const found = summarize(
    result.responses.filter(isCounted).filter(each => each !== undefined),
  );
  const best = summarize(ideal.filter(isCounted));
  const total = sumOf(result.sent);
  const share = (100 * sumOf(result.wasted)) / Math.max(total, 1);
  const answers = result.responses.filter(each => each !== undefined).length;
  console.log(
    [
      policy.padEnd(16),
      `load ${options.load}`,
      `tasks ${arrivals.length}`,
      `answered ${answers}`,
      `mean ${found.mean.toFixed(0)} ms`,
      `to ideal: mean ${(found.mean / best.mean).toFixed(3)}`,
      `p50 ${(found.p50 / best.p50).toFixed(3)}`,
      `p95 ${(found.p95 / best.p95).toFixed(3)}`,
      `p99 ${(found.p99 / best.p99).toFixed(3)}`,
      `messages per answer ${(total / answers).toFixed(2)}`,
      `wasted ${share.toFixed(1)}%`,
      listOf(result.sent),
      `wasted: ${listOf(result.wasted)}`,
    ].join(', '),
  );
}

function sumOf(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, each) => sum + each, 0);
}

function listOf(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([kind, count]) => `${kind} ${count}`).join(' ');
}

const [
  policies = 'all',
  load = '0.7',
  seconds = '25',
  seed = '1',
  zones = '1',
  faultName = 'none',
] = process.argv.slice(2);
const fault =
  Object.values(TrialFault).find(each => `${each}` === faultName) ??
  TrialFault.None;
const options: TrialOptions = {
  seed: Number(seed),
  load: Number(load),
  seconds: Number(seconds),
  owners: 8,
  runners: 30,
  slots: 8,
};
const selected = Object.values(PolicyKind).filter(
  policy => policies === 'all' || policies.split(',').includes(policy),
);
for (const policy of selected) {
  report(
    options,
    policy,
    await runPolicy(options, policy, Number(zones), fault),
  );
}
