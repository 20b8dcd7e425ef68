/** Starts a fleet of real processes with stand-ins for the platform. */
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

/** Processors of the first five instances of a zone. */
const LARGE_INSTANCE_PROCESSORS = [1.35, 1.35, 1.35, 0.81, 0.81];
/** Processors of all other instances of a zone. */
const SMALL_INSTANCE_PROCESSORS = 0.243;
const SLOTS_PER_WORKER = 4;
const PAGE_SIZE = 500;
const SAMPLE_INTERVAL_MICROS = 500;
/** Every tenth instance is waited for, which limits concurrent starts. */
const STARTS_AT_ONCE = 10;

/** Size of the fleet; instances and workers are per zone. */
export interface FleetSize {
  readonly zones: number;
  readonly instancesEach: number;
  readonly workersEach: number;
}

/** The program to run and its Node.js arguments. */
export interface FleetProgram {
  /** Path of a bundle to run; undefined for this build. */
  readonly program: string | undefined;
  /** Further arguments for Node.js. */
  readonly nodeArguments: readonly string[];
  readonly isProfiled: boolean;
}

/** A fleet whose instances are all ready. */
export interface PlatformFleet {
  readonly cluster: TestCluster;
  /**
   * Folder that each process writes its CPU profile to; undefined without
   * profiles.
   */
  readonly profileFolder: string | undefined;
  /** Stops the processes by SIGTERM; they write their CPU profiles on exit. */
  stop(): Promise<void>;
}

/**
 * Launches a fleet and waits until all instances are ready; it ends with
 * `lifecycle`.
 */
export async function launchPlatformFleet(
  {zones, instancesEach, workersEach}: FleetSize,
  {program, isProfiled, nodeArguments: further}: FleetProgram,
  lifecycle: Lifecycle,
): Promise<PlatformFleet> {
  const names = Array.from({length: zones}, (_, index) => `zone-${index}`);
  const cluster = new TestCluster(names);
  lifecycle.own('cluster', () => cluster.close());
  cluster.store.pageSize = PAGE_SIZE;
  await cluster.start(workersEach);
  for (const worker of cluster.workers) worker.slots = SLOTS_PER_WORKER;
  cluster.store.set('op/config', createConfiguration(1));
  const profileFolder = isProfiled ? createFolder(lifecycle) : undefined;
  const nodeArguments = [...createNodeArguments(profileFolder), ...further];
  const run = {nodeArguments, ...(program === undefined ? {} : {program})};
  for (let index = 0; index < zones * instancesEach; index += 1) {
    const zone = names[index % zones] ?? '';
    const indexInZone = Math.floor(index / zones);
    const processors =
      LARGE_INSTANCE_PROCESSORS[indexInZone] ?? SMALL_INSTANCE_PROCESSORS;
    const added = await cluster.addInstance({zone, processors, ...run});
    if (index % STARTS_AT_ONCE === 0) await cluster.waitUntilReady(added);
  }
  for (const instance of cluster.instances)
    await cluster.waitUntilReady(instance);
  return {cluster, profileFolder, stop: () => stopAll(cluster.instances)};
}

function createFolder(lifecycle: Lifecycle): string {
  const folder = mkdtempSync(join(tmpdir(), 'profiles-'));
  lifecycle.own('profiles', () => rmSync(folder, {recursive: true}));
  return folder;
}

/** The Node.js arguments of the deployment, and those of the profiler. */
function createNodeArguments(profileFolder: string | undefined): string[] {
  const usual = [
    '--max-old-space-size=160',
    '--max-semi-space-size=4',
    '--liftoff-only',
  ];
  if (profileFolder === undefined) return usual;
  const interval = `--cpu-prof-interval=${SAMPLE_INTERVAL_MICROS}`;
  return [...usual, '--cpu-prof', interval, `--cpu-prof-dir=${profileFolder}`];
}

async function stopAll(instances: readonly TestInstance[]): Promise<void> {
  const ends = instances.map(async ({process: child}) => {
    if (child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGTERM');
    await once(child, 'exit');
  });
  await Promise.all(ends);
}
