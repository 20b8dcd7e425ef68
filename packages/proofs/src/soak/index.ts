/** A soak: a load, drawn faults over it, and a check of every record. */
import {setTimeout as pause} from 'node:timers/promises';
import * as fc from 'fast-check';
import {Stage} from '../stage/index.js';
import {drawFault, runFault, type Fault} from './faults.js';
import {findFaults, runLoad} from './load.js';

export {findFaults, type LoadedJob} from './load.js';

const ROUND_MS = 8_000;
const MOST_FAULTS = 5;
const CALLERS = 12;
/** How long "not run" has to stay true. */
const LATER_MS = 10_000;

/** What to run. */
export interface SoakChoice {
  readonly seed: number;
  /** Rounds of faults; each has its own draw. */
  readonly rounds: number;
  /** How long to wait before the records are read; 10 s where absent. */
  readonly laterMs?: number;
  readonly report?: (line: string) => void;
}

/** What a soak found. */
export interface SoakResult {
  readonly seed: number;
  readonly jobs: number;
  readonly complete: number;
  readonly starts: number;
  readonly faults: number;
  readonly violations: readonly string[];
}

/** Runs a cluster under load and faults, and checks what was promised. */
export async function runSoak(choice: SoakChoice): Promise<SoakResult> {
  const stage = await Stage.open({isRelayed: true});
  try {
    return await soak(stage, choice);
  } finally {
    await stage.close();
  }
}

async function soak(stage: Stage, choice: SoakChoice): Promise<SoakResult> {
  const {seed, rounds, report = () => undefined} = choice;
  let isLoaded = true;
  const load = runLoad(stage, CALLERS, () => isLoaded);
  let faults = 0;
  for (let round = 0; round < rounds; round += 1) {
    const schedule = drawSchedule(stage, seed + round);
    report(`seed ${seed + round}: ${schedule.map(describe).join(', ')}`);
    faults += schedule.length;
    await Promise.all(schedule.map(fault => runFault(stage, fault)));
    await restore(stage);
  }
  isLoaded = false;
  const jobs = await load;
  await pause(choice.laterMs ?? LATER_MS);
  const starts = await stage.cluster.readStarts();
  const counts = new Map<string, number>();
  for (const {task, job} of starts) {
    counts.set(task, (counts.get(task) ?? 0) + 1);
    counts.set(job, (counts.get(job) ?? 0) + 1);
  }
  const doubled = [...counts]
    .filter(([name, count]) => name.includes('#') && count > 1)
    .map(([name, count]) => `${name} started ${count} times`);
  return {
    seed,
    jobs: jobs.length,
    complete: jobs.filter(isComplete).length,
    starts: starts.length,
    faults,
    violations: [...doubled, ...jobs.flatMap(job => findFaults(job, counts))],
  };
}

function drawSchedule(stage: Stage, seed: number): Fault[] {
  const schedule = fc.array(drawFault(stage, ROUND_MS), {
    minLength: 1,
    maxLength: MOST_FAULTS,
    size: 'max',
  });
  const [drawn] = fc.sample(fc.noBias(schedule), {seed, numRuns: 1});
  return drawn ?? [];
}

/** Gives back everything that overlapping faults may have left behind. */
async function restore(stage: Stage): Promise<void> {
  const {cluster} = stage;
  for (const zone of cluster.zones) cluster.healZone(zone);
  await cluster.setFaults({});
  await cluster.setPlatformDown(false);
  for (const entry of stage.entries) {
    if (entry.pid === undefined) entry.launch();
    else entry.resume();
  }
  await Promise.all(stage.entries.map(entry => entry.waitUntilReady()));
  await Promise.all(
    stage.entries.map(entry =>
      cluster.instanceLists.put(stage.describe(entry)),
    ),
  );
  await stage.waitForMembers(stage.entries.length);
}

function isComplete({ending}: {readonly ending: unknown}): boolean {
  const {answer} = (ending ?? {}) as {answer?: {state: string}};
  return answer?.state === 'complete';
}

function describe({kind, afterMs, lastsMs, ...rest}: Fault): string {
  const where = Object.values(rest).map(value => JSON.stringify(value));
  return `${kind} ${where.join(' ')} at ${afterMs} for ${lastsMs} ms`;
}
