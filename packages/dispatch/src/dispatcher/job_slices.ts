/**
 * Shares the start commands of a holder among its jobs. A job that has had more
 * tasks started than others waits for those, so that a large job doesn't delay
 * the ordinary ones beside it.
 */
import {MAX_UNANSWERED_STARTS} from '../workers/index.js';
import type {JobRecord} from './job_record.js';

/** Number of tasks that a job has started before it waits for others. */
const SLICE_TASKS = 64;
/** Number of tasks of a large job for which a plan is made on arrival. */
const MAX_PLANNED_TASKS = 256;
/** Limit of unanswered starts that leaves room for jobs of earlier slices. */
const MAX_LATER_SLICE_STARTS = MAX_UNANSWERED_STARTS / 2;

/** Whether a job of so many tasks has more than one slice. */
export function isLargeJob(tasks: number): boolean {
  return tasks > SLICE_TASKS;
}

/** Counts the waiting tasks of the job's first slice. */
export function countFirstSliceTasks(record: JobRecord): number {
  const {startedCount, waitingCount} = record;
  return Math.min(waitingCount, Math.max(0, SLICE_TASKS - startedCount));
}

/** Returns how many slices of the job have started; 0 for ordinary jobs. */
export function countStartedSlices({startedCount}: JobRecord): number {
  return Math.floor(startedCount / SLICE_TASKS);
}

/** Limit of the unanswered starts of a worker up to which the job adds one. */
export function limitUnansweredStarts(record: JobRecord): number {
  return countStartedSlices(record) === 0
    ? MAX_UNANSWERED_STARTS
    : MAX_LATER_SLICE_STARTS;
}

/**
 * Limits how many tasks of a job are planned in one round: once its plan as a
 * whole is of no interest, no more of a large job than `startRoom`, the starts
 * that may be sent now. Without any, a few may be delegated.
 */
export function limitPlannedTasks(
  {tasks, hasStarted}: JobRecord,
  startRoom: number,
): number {
  if (!isLargeJob(tasks.length)) return tasks.length;
  if (!hasStarted) return MAX_PLANNED_TASKS;
  return startRoom > 0 ? startRoom : SLICE_TASKS;
}
