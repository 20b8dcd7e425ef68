/** Refuses jobs that can never run, and estimates the work ahead of a job. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  chooseRetryAfter,
  estimateWait,
  measureWork,
  sumCapacity,
} from '../../admission/index.js';
import {canEverRun} from '../../placement/index.js';
import {RefusalReason, type Job} from '../../work/index.js';
import type {JobRecord} from '../jobs/index.js';
import type {Registry} from '../registry.js';

/** Returns why no worker can ever run the job; undefined when one can. */
export function findRefusal(
  registry: Registry,
  job: Job,
): RefusalReason | undefined {
  if (!registry.isListConfirmed) return undefined;
  const workers = [...registry.iterateWorkers(job.service)];
  if (workers.length === 0) return RefusalReason.NoWorkers;
  const isPossible = job.steps.every(step =>
    workers.some(worker => canEverRun(step, worker)),
  );
  return isPossible ? undefined : RefusalReason.NoFit;
}

/** Estimates how long other jobs of the service keep its workers busy. */
export function estimateDrain(
  registry: Registry,
  {id, service}: Job,
  now: Millis,
): Millis {
  let workAhead = 0;
  for (const {job, steps} of registry.jobs.values()) {
    if (job.service !== service || job.id === id) continue;
    for (const {step, waiting, running} of steps) {
      const expectedMs = registry.runTimes.predict(job.queue, step.estimateMs);
      let remainingMs = waiting.size * expectedMs;
      for (const {state} of running)
        if (state.kind === 'running')
          remainingMs += Math.max(0, state.run.expectedEndAt - now);
      workAhead += remainingMs * step.need.cpuMillis;
    }
  }
  return estimateWait(
    workAhead,
    sumCapacity(registry.iterateWorkers(service), service),
  );
}

/** Refuses a job of which nothing has started, and schedules its caller's return. */
export function refuseOverloaded(
  registry: Registry,
  record: JobRecord,
  now: Millis,
): void {
  const {job, isInbound} = record;
  const {service} = job;
  const waitMs = estimateDrain(registry, job, now);
  const capacity = sumCapacity(registry.iterateWorkers(service), service);
  const demand = {service, work: measureWork(job), waitMs, capacity};
  const retryAfterMs = isInbound
    ? chooseRetryAfter(waitMs)
    : registry.returns.promise(demand, now);
  const reason = RefusalReason.Overloaded;
  registry.refuse(record, reason, waitMs, now, retryAfterMs);
}
