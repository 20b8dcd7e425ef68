/**
 * Task starts per second and core of an entry instance, in jobs of 100 tasks.
 */
import {loadavg} from 'node:os';
import {readClock, type Lifecycle} from '@goldcrestpier/runtime';
import {launchCluster, planZones} from '@goldcrestpier/standins';
import {Caller, JobOutcomeKind} from '../caller/index.js';
import {readMetrics, SERVICE} from '../cluster/index.js';
import {subtractMetrics, sumByName} from '../metrics/index.js';
import type {MeasureOptions} from './options.js';

const TASKS_PER_JOB = 100;
const CONCURRENT_JOBS = 8;
const RUNNERS = 9;
const RUNNER_SLOTS = 50;
const WARM_UP_SECONDS = 3;

/** Measures one instance under load with jobs of very short tasks. */
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
  if (zone === undefined) throw new Error('the plan has no zone');
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
  if (entry === undefined) throw new Error('the plan has no entry instance');
  const caller = new Caller(entry.url);
  lifecycle.own('caller', () => caller.close());
  await runJobs(caller, 'warm-up', WARM_UP_SECONDS);
  const [before = new Map<string, number>()] = await readMetrics([entry]);
  const startedAt = readClock();
  const incompleteJobs = await runJobs(caller, 'measured', seconds);
  const tookSeconds = (readClock() - startedAt) / 1_000;
  const [after = new Map<string, number>()] = await readMetrics([entry]);
  const change = subtractMetrics(after, before);
  const tasks = sumByName(change, 'goldcrestpier_tasks_total');
  const coreSeconds = sumByName(change, 'process_cpu_seconds_total');
  const result = {
    tasksPerSecond: tasks / tookSeconds,
    coresUsed: coreSeconds / tookSeconds,
    startsPerCoreSecond: tasks / coreSeconds,
    jobsNotComplete: incompleteJobs,
    residentMb: sumByName(after, 'process_resident_memory_bytes') / 1_048_576,
    machineLoad: loadavg()[0],
  };
  console.log(JSON.stringify(result));
  return result;
}

/**
 * Keeps `CONCURRENT_JOBS` jobs running. Resolves with the number of jobs that
 * did not complete.
 */
async function runJobs(
  caller: Caller,
  name: string,
  seconds: number,
): Promise<number> {
  const endAt = readClock() + seconds * 1_000;
  let incompleteJobs = 0;
  const body = JSON.stringify({
    tasks: Array.from({length: TASKS_PER_JOB}, () => ({
      service: SERVICE,
      declaredMs: 1,
      payload: {runMs: 0},
    })),
  });
  const runSequence = async (sequence: number) => {
    for (let count = 0; readClock() < endAt; count += 1) {
      const key = `${name}-${sequence}-${count}`;
      const scheduledAt = readClock();
      const outcome = await caller.submit({
        key,
        body,
        scheduledAt,
        isSingleAttempt: false,
      });
      if (outcome.kind !== JobOutcomeKind.Complete) incompleteJobs += 1;
    }
  };
  const sequences = Array.from({length: CONCURRENT_JOBS}, (_, sequence) =>
    runSequence(sequence),
  );
  await Promise.all(sequences);
  return incompleteJobs;
}
