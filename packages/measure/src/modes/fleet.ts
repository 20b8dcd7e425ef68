/**
 * Resource usage of a fleet on the users' platform, by role and by kind of
 * work.
 */
import {readClock, sleep, type Lifecycle} from '@goldcrestpier/runtime';
import type {TestInstance} from '@goldcrestpier/platform-adapter/standins';
import {
  sumProfilesByWork,
  launchPlatformFleet,
  readUsage,
  sendJobs,
  type Usage,
  type WorkTime,
} from '../fleet/index.js';
import type {MeasureOptions} from './options.js';

const MILLIS_PER_SECOND = 1_000;
const KIBIBYTE = 1_024;
const SETTLE_MS = 6_000;
/**
 * The first instances of a zone have the most processors; one of them is
 * elected next.
 */
const CANDIDATES_PER_ZONE = 3;

/** Roles of an instance while it is measured. */
type InstanceRole = 'holder' | 'candidate' | 'other';

interface MeasuredInstance {
  readonly role: InstanceRole;
  readonly before: Usage;
  readonly after: Usage;
}

/**
 * Measures the fleet under a steady load of jobs, or without load for 0 jobs a
 * second.
 */
export async function measureFleet(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const [instancesEach = 1] = options.entries;
  const [workersEach = 1] = options.runners;
  const {zones, jobsPerSecond, seconds, fleetProgram} = options;
  const size = {zones, instancesEach, workersEach};
  const fleet = await launchPlatformFleet(size, fleetProgram, lifecycle);
  const {instances} = fleet.cluster;
  await sleep(SETTLE_MS);
  const before = instances.map(readUsageOf);
  const startedAt = readClock();
  const sent = await sendJobs(instances, jobsPerSecond, seconds);
  const idleMs = startedAt + seconds * MILLIS_PER_SECOND - readClock();
  if (idleMs > 0) await sleep(idleMs);
  const tookMs = readClock() - startedAt;
  const after = instances.map(readUsageOf);
  const instanceRoles = findRoles(instances);
  const measured = instances.flatMap((_, index): MeasuredInstance[] => {
    const [first, last] = [before[index], after[index]];
    const role = instanceRoles[index] ?? 'other';
    if (first === undefined || last === undefined) return [];
    return [{role, before: first, after: last}];
  });
  const tookSeconds = tookMs / MILLIS_PER_SECOND;
  const roles = (['holder', 'candidate', 'other'] as const).map(role =>
    summarizeRole(role, measured, tookSeconds),
  );
  await fleet.stop();
  const rolesByProcess = new Map(
    instances.map(({process: child}, index) => [
      child.pid,
      instanceRoles[index],
    ]),
  );
  const works =
    fleet.profileFolder === undefined
      ? {}
      : Object.fromEntries(
          sumProfilesByWork(fleet.profileFolder, id => rolesByProcess.get(id)),
        );
  console.table(roles);
  for (const [role, each] of Object.entries(works)) printWorks(role, each);
  console.log(JSON.stringify(sent));
  return {size, tookSeconds, roles, works, sent};
}

function printWorks(role: string, works: readonly WorkTime[]): void {
  console.log(`profiles of role ${role}`);
  console.table(works.map(({work, seconds: s}) => ({work, s: round(s)})));
}

function readUsageOf({process: child}: TestInstance): Usage | undefined {
  return child.pid === undefined ? undefined : readUsage(child.pid);
}

/**
 * Finds the holder of each zone by the last role change in its log. Candidates
 * are the other ones among the first instances of a zone.
 */
function findRoles(instances: readonly TestInstance[]): InstanceRole[] {
  const counts = new Map<string, number>();
  return instances.map(({zone, logLines: lines}) => {
    const position = (counts.get(zone) ?? 0) + 1;
    counts.set(zone, position);
    const roleChange = lines.findLast(line => line.includes('role changed'));
    if (
      roleChange?.includes('"to":"claim"') ||
      roleChange?.includes('"to":"hold"')
    ) {
      return 'holder';
    }
    return position <= CANDIDATES_PER_ZONE ? 'candidate' : 'other';
  });
}

function summarizeRole(
  role: InstanceRole,
  measured: readonly MeasuredInstance[],
  seconds: number,
): object {
  const own = measured.filter(each => each.role === role);
  const mean = (read: (each: MeasuredInstance) => number) =>
    own.reduce((sum, each) => sum + read(each), 0) / Math.max(own.length, 1);
  const rate = (read: (usage: Usage) => number) =>
    mean(({before, after}) => read(after) - read(before)) / seconds;
  return {
    part: role,
    instances: own.length,
    startSeconds: round(mean(({before}) => before.processorSeconds)),
    core: round(rate(({processorSeconds}) => processorSeconds)),
    wakesPerSecond: round(rate(({wakes}) => wakes)),
    writtenKbPerSecond: round(rate(usage => usage.writtenBytes) / KIBIBYTE),
    residentMb: round(mean(({after}) => after.residentMb)),
    peakMb: round(Math.max(0, ...own.map(({after}) => after.peakMb))),
  };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
