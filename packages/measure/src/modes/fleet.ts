/** What a fleet on the users' platform costs, by role and by work. */
import {readClock, sleep, type Lifecycle} from '@goldcrestpier/runtime';
import type {TestInstance} from '@goldcrestpier/platform-adapter/standins';
import {
  divideProfiles,
  launchPlatformFleet,
  readUsage,
  sendJobs,
  type Usage,
} from '../fleet/index.js';
import type {MeasureOptions} from './options.js';

const MILLIS_PER_SECOND = 1_000;
const KIBIBYTE = 1_024;
const SETTLE_MS = 6_000;
/** So many of the strongest of a zone may hold next. */
const CANDIDATES = 3;

/** The parts that an instance may play while it is measured. */
type Part = 'holder' | 'candidate' | 'other';

interface Measured {
  readonly part: Part;
  readonly before: Usage;
  readonly after: Usage;
}

/** Measures the fleet without load, or under a steady load of jobs. */
export async function measureFleet(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const [instancesEach = 1] = options.entries;
  const [workersEach = 1] = options.runners;
  const {zones, jobsPerSecond, seconds, fleetProgram} = options;
  const size = {zones, instancesEach, workersEach};
  const fleet = await launchPlatformFleet(size, fleetProgram, lifecycle);
  const {instances} = fleet.stage;
  await sleep(SETTLE_MS);
  const before = instances.map(readUsageOf);
  const beganAt = readClock();
  const sent = await sendJobs(instances, jobsPerSecond, seconds);
  const idleMs = beganAt + seconds * MILLIS_PER_SECOND - readClock();
  if (idleMs > 0) await sleep(idleMs);
  const tookMs = readClock() - beganAt;
  const after = instances.map(readUsageOf);
  const parts = nameParts(instances);
  const measured = instances.flatMap((_, place): Measured[] => {
    const [first, last] = [before[place], after[place]];
    const part = parts[place] ?? 'other';
    if (first === undefined || last === undefined) return [];
    return [{part, before: first, after: last}];
  });
  const tookSeconds = tookMs / MILLIS_PER_SECOND;
  const roles = (['holder', 'candidate', 'other'] as const).map(part =>
    summarize(part, measured, tookSeconds),
  );
  await fleet.stop();
  const works =
    fleet.profiles === undefined ? [] : divideProfiles(fleet.profiles);
  console.table(roles);
  console.table(works.map(({work, seconds: each}) => ({work, s: round(each)})));
  console.log(JSON.stringify(sent));
  return {size, tookSeconds, roles, works, sent};
}

function readUsageOf({process: child}: TestInstance): Usage | undefined {
  return child.pid === undefined ? undefined : readUsage(child.pid);
}

/** Who holds by its log; candidates are the first of each zone besides. */
function nameParts(instances: readonly TestInstance[]): Part[] {
  const counts = new Map<string, number>();
  return instances.map(({zone, logLines: lines}) => {
    const place = (counts.get(zone) ?? 0) + 1;
    counts.set(zone, place);
    const role = lines.findLast(line => line.includes('role changed'));
    if (role?.includes('"to":"claim"') || role?.includes('"to":"hold"')) {
      return 'holder';
    }
    return place <= CANDIDATES ? 'candidate' : 'other';
  });
}

function summarize(
  part: Part,
  measured: readonly Measured[],
  seconds: number,
): object {
  const own = measured.filter(each => each.part === part);
  const mean = (read: (each: Measured) => number) =>
    own.reduce((sum, each) => sum + read(each), 0) / Math.max(own.length, 1);
  const rate = (read: (usage: Usage) => number) =>
    mean(({before, after}) => read(after) - read(before)) / seconds;
  return {
    part,
    instances: own.length,
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
