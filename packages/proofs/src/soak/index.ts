/**
 * A soak test: runs a load under random faults and checks the records of all
 * jobs.
 */
import {setTimeout as pause} from 'node:timers/promises';
import * as fc from 'fast-check';
import {ClusterFixture} from '../fixture/index.js';
import {drawFault, injectFault, type Fault} from './faults.js';
import {findViolations, runLoad} from './load.js';

export {findViolations, type SoakJob} from './load.js';

const FAULT_WINDOW_MS = 8_000;
const MAX_FAULTS_PER_ROUND = 5;
const CALLER_COUNT = 12;
/** Time after the load in which a "not run" task must still not start. */
const SETTLE_MS = 10_000;

/** Options of a soak test. */
export interface SoakOptions {
  readonly seed: number;
  /** Rounds of faults; each draws its own schedule from `seed` + round. */
  readonly rounds: number;
  /** Wait between the end of the load and the check; 10 s by default. */
  readonly settleMs?: number;
  /** Receives one line per round with its seed and faults. */
  readonly report?: (line: string) => void;
}

/** The result of a soak test. */
export interface SoakResult {
  readonly seed: number;
  readonly jobs: number;
  readonly complete: number;
  readonly starts: number;
  readonly faults: number;
  readonly violations: readonly string[];
}

/** Runs a cluster under load and faults, and checks its guarantees. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const fixture = await ClusterFixture.launch({isRelayed: true});
  try {
    return await runRounds(fixture, options);
  } finally {
    await fixture.close();
  }
}

async function runRounds(
  fixture: ClusterFixture,
  options: SoakOptions,
): Promise<SoakResult> {
  const {seed, rounds, report = () => undefined} = options;
  let isLoadWanted = true;
  const load = runLoad(fixture, CALLER_COUNT, () => isLoadWanted);
  let faults = 0;
  for (let round = 0; round < rounds; round += 1) {
    const schedule = drawSchedule(fixture, seed + round);
    report(`seed ${seed + round}: ${schedule.map(describeFault).join(', ')}`);
    faults += schedule.length;
    await Promise.all(schedule.map(fault => injectFault(fixture, fault)));
    await undoAllFaults(fixture);
  }
  isLoadWanted = false;
  const jobs = await load;
  await pause(options.settleMs ?? SETTLE_MS);
  const starts = await fixture.cluster.readStarts();
  const counts = new Map<string, number>();
  for (const {task, job} of starts) {
    counts.set(task, (counts.get(task) ?? 0) + 1);
    counts.set(job, (counts.get(job) ?? 0) + 1);
  }
  const duplicates = [...counts]
    .filter(([name, count]) => name.includes('#') && count > 1)
    .map(([name, count]) => `${name} started ${count} times`);
  return {
    seed,
    jobs: jobs.length,
    complete: jobs.filter(isComplete).length,
    starts: starts.length,
    faults,
    violations: [
      ...duplicates,
      ...jobs.flatMap(job => findViolations(job, counts)),
    ],
  };
}

function drawSchedule(fixture: ClusterFixture, seed: number): Fault[] {
  const schedule = fc.array(drawFault(fixture, FAULT_WINDOW_MS), {
    minLength: 1,
    maxLength: MAX_FAULTS_PER_ROUND,
    size: 'max',
  });
  const [drawn] = fc.sample(fc.noBias(schedule), {seed, numRuns: 1});
  return drawn ?? [];
}

/** Undoes all faults; overlapping ones may leave some in place. */
async function undoAllFaults(fixture: ClusterFixture): Promise<void> {
  const {cluster} = fixture;
  for (const zone of cluster.zones) cluster.healZone(zone);
  await cluster.setFaults({});
  await cluster.setPlatformDown(false);
  for (const entry of fixture.entries) {
    if (entry.pid === undefined) entry.launch();
    else entry.resume();
  }
  await Promise.all(fixture.entries.map(entry => entry.waitUntilReady()));
  await Promise.all(
    fixture.entries.map(entry =>
      cluster.instanceLists.put(fixture.describeEntry(entry)),
    ),
  );
  await fixture.waitForMembers(fixture.entries.length);
}

function isComplete({finalReply}: {readonly finalReply: unknown}): boolean {
  const {answer} = (finalReply ?? {}) as {answer?: {state: string}};
  return answer?.state === 'complete';
}

function describeFault({kind, delayMs, durationMs, ...rest}: Fault): string {
  const where = Object.values(rest).map(value => JSON.stringify(value));
  return `${kind} ${where.join(' ')} at ${delayMs} for ${durationMs} ms`;
}
