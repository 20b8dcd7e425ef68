/** Starts a fleet of real processes beside stand-ins for the platform. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {once} from 'node:events';
import {
  createConfiguration,
  TestCluster,
  type TestInstance,
} from '@goldcrestpier/platform-adapter/standins';
import type {Lifecycle} from '@goldcrestpier/runtime';

/** Processors of the first instances of a zone, and of all the others. */
const STRONG_PROCESSORS = [1.35, 1.35, 1.35, 0.81, 0.81];
const WEAK_PROCESSORS = 0.243;
/** Tasks that one worker runs at the same time. */
const SLOTS = 4;
const PAGE_SIZE = 500;
/** Pause between two samples of a profile, in microseconds. */
const SAMPLE_MICROS = 500;
/** Instances that are started at the same time. */
const STARTED_TOGETHER = 10;

/** How large the fleet is. */
export interface FleetSize {
  readonly zones: number;
  readonly instancesEach: number;
  readonly workersEach: number;
}

/** How the program is run. */
export interface FleetProgram {
  /** A bundle to run in place of this build. */
  readonly program: string | undefined;
  /** Further arguments for Node.js. */
  readonly nodeArguments: readonly string[];
  readonly isProfiled: boolean;
}

/** A fleet whose instances are all ready. */
export interface PlatformFleet {
  readonly stage: TestCluster;
  /** Where each process leaves its profile; undefined without profiles. */
  readonly profiles: string | undefined;
  /** Ends the processes in good order, which write their profiles then. */
  stop(): Promise<void>;
}

/** Launches a fleet; the life cycle ends what is left of it. */
export async function launchPlatformFleet(
  {zones, instancesEach, workersEach}: FleetSize,
  {program, isProfiled, nodeArguments: further}: FleetProgram,
  lifecycle: Lifecycle,
): Promise<PlatformFleet> {
  const names = Array.from({length: zones}, (_, index) => `zone-${index}`);
  const stage = new TestCluster(names);
  lifecycle.own('stage', () => stage.close());
  stage.store.pageSize = PAGE_SIZE;
  await stage.start(workersEach);
  for (const worker of stage.workers) worker.slots = SLOTS;
  stage.store.set('op/config', createConfiguration(1));
  const profiles = isProfiled ? createFolder(lifecycle) : undefined;
  const nodeArguments = [...chooseArguments(profiles), ...further];
  const run = {nodeArguments, ...(program === undefined ? {} : {program})};
  for (let index = 0; index < zones * instancesEach; index += 1) {
    const zone = names[index % zones] ?? '';
    const place = Math.floor(index / zones);
    const processors = STRONG_PROCESSORS[place] ?? WEAK_PROCESSORS;
    const added = await stage.addInstance({zone, processors, ...run});
    if (index % STARTED_TOGETHER === 0) await stage.waitUntilReady(added);
  }
  for (const instance of stage.instances) await stage.waitUntilReady(instance);
  return {stage, profiles, stop: () => stopAll(stage.instances)};
}

function createFolder(lifecycle: Lifecycle): string {
  const folder = mkdtempSync(join(tmpdir(), 'profiles-'));
  lifecycle.own('profiles', () => rmSync(folder, {recursive: true}));
  return folder;
}

/** As the deploy file has them, and those of the profiler. */
function chooseArguments(profiles: string | undefined): string[] {
  const heap = ['--max-old-space-size=160', '--max-semi-space-size=4'];
  if (profiles === undefined) return heap;
  const interval = `--cpu-prof-interval=${SAMPLE_MICROS}`;
  return [...heap, '--cpu-prof', interval, `--cpu-prof-dir=${profiles}`];
}

async function stopAll(instances: readonly TestInstance[]): Promise<void> {
  const ends = instances.map(async ({process: child}) => {
    if (child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGTERM');
    await once(child, 'exit');
  });
  await Promise.all(ends);
}
