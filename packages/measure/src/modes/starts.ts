/** Task starts a second for each core of an entry instance, in jobs of 100. */
import {loadavg} from 'node:os';
import {readClock, type Lifecycle} from '@goldcrestpier/runtime';
import {launchCluster, planZones} from '@goldcrestpier/standins';
import {Caller, EndKind} from '../caller/index.js';
import {readFigures, SERVICE} from '../cluster/index.js';
import {subtractFigures, sumOf} from '../metrics/index.js';
import type {MeasureOptions} from './options.js';

const TASKS_PER_JOB = 100;
const JOBS_AT_ONCE = 8;
const RUNNERS = 9;
const RUNNER_SLOTS = 50;
const WARM_UP_SECONDS = 3;

/** Keeps one instance busy with jobs of very short tasks. */
export async function measureStarts(
  {seconds}: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const [zone] = planZones({
    zones: ['batangas-1'],
    entriesPerZone: 1,
    runnersPerZone: RUNNERS,
    service: SERVICE,
  });
  if (zone === undefined) throw new Error('no zone was planned');
  const runners = zone.runners.map(each => ({...each, slots: RUNNER_SLOTS}));
  const cluster = await launchCluster(
    {
      zones: [{...zone, runners}],
      standinProcesses: 3,
      logLevel: 'warn',
    },
    lifecycle,
  );
  const [entry] = cluster.entries;
  if (entry === undefined) throw new Error('no entry was planned');
  const caller = new Caller(entry.url);
  lifecycle.own('caller', () => caller.close());
  await keepBusy(caller, 'warm-up', WARM_UP_SECONDS);
  const [before = new Map<string, number>()] = await readFigures([entry]);
  const startAt = readClock();
  const failed = await keepBusy(caller, 'measured', seconds);
  const tookSeconds = (readClock() - startAt) / 1_000;
  const [after = new Map<string, number>()] = await readFigures([entry]);
  const change = subtractFigures(after, before);
  const tasks = sumOf(change, 'goldcrestpier_tasks_total');
  const coreSeconds = sumOf(change, 'process_cpu_seconds_total');
  const result = {
    tasksPerSecond: tasks / tookSeconds,
    coresUsed: coreSeconds / tookSeconds,
    startsPerCoreSecond: tasks / coreSeconds,
    jobsNotComplete: failed,
    residentMb: sumOf(after, 'process_resident_memory_bytes') / 1_048_576,
    machineLoad: loadavg()[0],
  };
  console.log(JSON.stringify(result));
  return result;
}

/** Has some jobs under way at all times; how many did not end whole. */
async function keepBusy(
  caller: Caller,
  name: string,
  seconds: number,
): Promise<number> {
  const endAt = readClock() + seconds * 1_000;
  let failed = 0;
  const body = JSON.stringify({
    tasks: Array.from({length: TASKS_PER_JOB}, () => ({
      service: SERVICE,
      declaredMs: 1,
      payload: {runMs: 0},
    })),
  });
  const runLine = async (line: number) => {
    for (let count = 0; readClock() < endAt; count += 1) {
      const key = `${name}-${line}-${count}`;
      const dueAt = readClock();
      const end = await caller.submit({key, body, dueAt, isTriedOnce: false});
      if (end.kind !== EndKind.Complete) failed += 1;
    }
  };
  const lines = Array.from({length: JOBS_AT_ONCE}, (_, line) => runLine(line));
  await Promise.all(lines);
  return failed;
}
