/** Converts a submission into the tasks to be placed on backend servers. */
import {
  BackendKind,
  formatJobId,
  formatTaskId,
  type PlacementTask,
  type SubmittedTask,
  type Target,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {ReceivedSubmission} from './types.js';

/** Creates a placement task, with its deadline, for each task of the job. */
export function createPlacementTasks(
  {session, key, job}: ReceivedSubmission,
  now: Millis,
): PlacementTask[] {
  const jobId = formatJobId(session, key);
  return job.tasks.map((task, index) => ({
    id: formatTaskId(jobId, index),
    job: jobId,
    index,
    team: job.team,
    target: getTarget(task),
    declaredMs: task.declaredMs,
    repeatable: task.repeatable,
    deadlineAt: now + job.deadlineMs,
    payload: task.payload,
  }));
}

function getTarget({service, worker}: SubmittedTask): Target {
  if (worker !== undefined) return {kind: BackendKind.Worker, needs: worker};
  return {kind: BackendKind.Runner, service: service ?? ''};
}
