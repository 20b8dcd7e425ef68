/** Turns a submission into the tasks that placement is given. */
import {
  BackendKind,
  formatJob,
  formatTask,
  type PlacedTask,
  type SubmittedTask,
  type Target,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {ArrivedSubmission} from './types.js';

/** One placed task for each task of the job, with its deadline. */
export function createPlacedTasks(
  {session, key, job}: ArrivedSubmission,
  now: Millis,
): PlacedTask[] {
  const name = formatJob(session, key);
  return job.tasks.map((task, index) => ({
    id: formatTask(name, index),
    job: name,
    index,
    team: job.team,
    target: toTarget(task),
    declaredMs: task.declaredMs,
    repeatable: task.repeatable,
    deadlineAt: now + job.deadlineMs,
    payload: task.payload,
  }));
}

function toTarget({service, worker}: SubmittedTask): Target {
  if (worker !== undefined) return {kind: BackendKind.Worker, needs: worker};
  return {kind: BackendKind.Runner, service: service ?? ''};
}
