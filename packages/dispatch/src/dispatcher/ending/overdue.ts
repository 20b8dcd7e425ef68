/** Ends runs and jobs whose lease, stop time or deadline has passed. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  AbandonReason,
  RefusalReason,
  createAbandoned,
} from '../../work/index.js';
import type {Registry} from '../registry.js';
import {
  LossCause,
  isCrashLoss,
  type Run,
  type WorkerRecord,
} from '../../workers/index.js';
import type {EarlierRuns} from '../intake/index.js';
import {startProbation} from '../worker_state/index.js';
import type {JobRecord} from '../jobs/index.js';

/** Ends runs whose leases have expired or whose stops have completed. */
export function endOverdueRuns(registry: Registry, now: Millis): void {
  const {runEnds, soleHolder} = registry;
  const isAnyRunOver = runEnds.isAnyDue(now);
  let isProofNeeded = false;
  for (const [id, worker] of registry.workers) {
    startProbation(worker, now);
    const areLeasesOver = worker.areLeasesOver(now);
    if (worker.isUnresponsive && worker.runs.size > 0) isProofNeeded = true;
    if (areLeasesOver || isAnyRunOver)
      endOverdueRunsOn(registry, worker, areLeasesOver, now);
    const isGone = worker.info.isDraining && worker.isUnresponsive;
    if (isGone && worker.canBeRemoved(now)) registry.removeWorker(id);
  }
  soleHolder.isProofNeeded = isProofNeeded;
  if (!isAnyRunOver) return;
  for (const record of registry.jobs.values()) {
    for (const run of record.runs()) {
      if (now >= run.latestEndAt) registry.endRun(run, LossCause.Expired, now);
    }
  }
  runEnds.update(iterateRuns(registry));
}

function endOverdueRunsOn(
  registry: Registry,
  worker: WorkerRecord,
  areLeasesOver: boolean,
  now: Millis,
): void {
  for (const run of worker.runs.values()) {
    if (areLeasesOver) handleLeaseEnd(registry, worker, run, now);
    const isOver = now >= run.latestEndAt;
    if (isOver && worker.runs.get(run.key) === run)
      registry.endRun(run, LossCause.Expired, now);
  }
}

/** Iterates over the runs on workers and in other zones; some come twice. */
function* iterateRuns({workers, jobs}: Registry): Iterable<Run> {
  for (const {runs} of workers.values()) yield* runs.values();
  for (const record of jobs.values()) yield* record.runs();
}

/**
 * Ends a run with the leases of its worker. One whose start command may be
 * executed late only counts as evidence of a crash.
 */
function handleLeaseEnd(
  registry: Registry,
  worker: WorkerRecord,
  run: Run,
  now: Millis,
): void {
  const {soleHolder, jobs} = registry;
  const deadlineAt = jobs.get(run.recordId)?.job.deadlineAt ?? -Infinity;
  if (soleHolder.mayBeExtended(deadlineAt, now)) return;
  const {lossCause, unexplainedLosses} = worker;
  if (!unexplainedLosses.includes(run))
    worker.unexplainedLosses = [...unexplainedLosses, run];
  if (worker.isBoundByLease(run)) registry.endRun(run, lossCause, now);
  else if (isCrashLoss(lossCause)) registry.crashRecorder.record(run, now);
}

/** Ends reattached tasks that run nowhere, as soon as all runs are known. */
export function endLostTasks(
  registry: Registry,
  earlierRuns: EarlierRuns,
  now: Millis,
): void {
  for (const record of registry.jobs.values()) {
    if (!record.isReattached) continue;
    if (!earlierRuns.areAllKnown(record, now)) continue;
    record.mayHaveUnknownRuns = false;
    if (record.isRunning) continue;
    registry.endJob(record, createAbandoned(AbandonReason.RunLost), now);
  }
}

/** Ends jobs that can no longer end in time. */
export function endOverdueJobs(registry: Registry, now: Millis): void {
  for (const record of registry.jobs.values()) {
    if (record.pendingOutcome !== undefined) continue;
    if (now >= record.job.deadlineAt) {
      abandonJob(registry, record, AbandonReason.Deadline, now);
    } else if (!record.hasStarted && now >= record.usefulUntil) {
      registry.refuse(record, RefusalReason.TooLate, 0, now);
    }
  }
}

/** Abandons a job, which ends once none of its tasks runs any more. */
export function abandonJob(
  registry: Registry,
  record: JobRecord,
  reason: AbandonReason,
  now: Millis,
): void {
  const isRefusal = reason === AbandonReason.Deadline && !record.hasStarted;
  if (isRefusal) registry.refuse(record, RefusalReason.TooLate, 0, now);
  else registry.endJob(record, createAbandoned(reason), now);
}
