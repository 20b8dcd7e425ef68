/**
 * Shares the start commands of a holder among its jobs. While starts have to
 * wait, the first tasks of each job go before the others of larger jobs, so that
 * a job of many tasks doesn't delay the ordinary ones beside it.
 */
import {MAX_UNANSWERED_STARTS} from '../../workers/index.js';
import type {JobRecord} from '../jobs/index.js';

/** Number of the first tasks of a job, which go before those of larger jobs. */
const FIRST_TASKS = 16;
/** Number of tasks from which a job is planned in parts. */
const LARGE_JOB_TASKS = 64;
/** Number of tasks of a large job for which a plan is made on arrival. */
const MAX_PLANNED_TASKS = 256;
/** Limit of unanswered starts that leaves room for the first tasks of jobs. */
const MAX_LATER_STARTS = MAX_UNANSWERED_STARTS / 2;

/** Whether a job of so many tasks is planned in parts. */
export function isLargeJob(tasks: number): boolean {
  return tasks > LARGE_JOB_TASKS;
}

/** Counts the tasks of a job that are started before all of a new job. */
export function countTasksAhead(record: JobRecord, newTasks: number): number {
  const {startedCount, waitingCount} = record;
  if (newTasks > FIRST_TASKS) return waitingCount;
  return Math.min(waitingCount, Math.max(0, FIRST_TASKS - startedCount));
}

/** Whether the first tasks of the job have started. */
export function haveFirstStarted({startedCount}: JobRecord): boolean {
  return startedCount >= FIRST_TASKS;
}

/** Limit of the unanswered starts of a worker up to which the job adds one. */
export function limitUnansweredStarts(record: JobRecord): number {
  return haveFirstStarted(record) ? MAX_LATER_STARTS : MAX_UNANSWERED_STARTS;
}

/**
 * Limits how many tasks of a large job are planned in one round: once its plan as
 * a whole is of no interest, no more than `startRoom`, the starts that may be sent
 * now. Without any, a few may be delegated.
 */
export function limitPlannedTasks(
  {hasStarted}: JobRecord,
  startRoom: number,
): number {
  if (!hasStarted) return MAX_PLANNED_TASKS;
  return startRoom > 0 ? startRoom : FIRST_TASKS;
}
