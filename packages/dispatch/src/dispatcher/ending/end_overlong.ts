/**
 * Ends jobs with a run whose progress shows that it can't end before the
 * deadline. The caller can't be served any more, so the job's other runs and
 * tasks would waste capacity.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {estimateLengthFactor} from '../../work_estimates/index.js';
import {AbandonReason} from '../../work/index.js';
import {RunPhase, type Run} from '../../workers/index.js';
import {collectEvidence} from '../worker_state/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import {EXPECTED_STOP_MS} from '../options.js';
import type {Registry} from '../registry.js';
import {abandonJob} from './overdue.js';

/** Ends the jobs whose runs can't end in time, here or elsewhere. */
export function endOverlongJobs(registry: Registry, now: Millis): void {
  for (const run of registry.overlongRuns) {
    const record = registry.jobs.get(run.recordId);
    const task = record?.findTask(run.key);
    if (record === undefined || task === undefined || !isCurrent(task, run)) {
      registry.overlongRuns.delete(run);
      continue;
    }
    if (record.pendingOutcome !== undefined) continue;
    if (!isStillOverlong(registry, record, run, now)) continue;
    if (mayEndElsewhere(registry, record, task, run, now)) continue;
    const {job} = record;
    const totalMs = run.progress.totalMs ?? 0;
    registry.runTimes.learnStopped(job.queue, totalMs / run.expectedMs);
    registry.observer.jobOverlong(run, totalMs, job.deadlineAt - now);
    abandonJob(registry, record, AbandonReason.RunTooLong, now);
  }
}

function isCurrent({state}: TaskRecord, run: Run): boolean {
  if (state.kind !== 'running' || state.run !== run) return false;
  return run.phase === RunPhase.Running;
}

/** Whether fresh, trusted reports of a worker that answers still say so. */
function isStillOverlong(
  {workers, progressTrust}: Registry,
  {job}: JobRecord,
  {workerId, progress, startedAt}: Run,
  now: Millis,
): boolean {
  if (!progressTrust.isTrusted(job.queue)) return false;
  if (workers.get(workerId)?.isUnresponsive !== false) return false;
  const earliestEnd = progress.findEarliestEnd(startedAt, now);
  return earliestEnd !== undefined && earliestEnd > job.deadlineAt;
}

/** Whether the task might be moved and still end in time. */
function mayEndElsewhere(
  registry: Registry,
  record: JobRecord,
  {movedFrom}: TaskRecord,
  run: Run,
  now: Millis,
): boolean {
  if (movedFrom !== undefined) return false;
  const {runTimes} = registry;
  let fastest = Infinity;
  for (const {info} of registry.iterateWorkers(record.job.service))
    if (info.id !== run.workerId)
      fastest = Math.min(fastest, runTimes.getSlowness(info.id));
  const evidence = collectEvidence(registry, record, run, now);
  const lengthMs = run.expectedMs * estimateLengthFactor(evidence);
  const againMs = (lengthMs * fastest) / runTimes.getSlowness(run.workerId);
  return now + EXPECTED_STOP_MS + againMs < record.job.deadlineAt;
}
