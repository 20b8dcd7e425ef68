/**
 * Admission control for the tasks of a job. Refusals are immediate, state the
 * reason, and give a retry delay based on the measured drain rate of the queue.
 */
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';

const MS_PER_SECOND = 1_000;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 60_000;
/** Retry delay while the drain rate is unknown. */
const DEFAULT_RETRY_MS = 1_000;
const DEFAULT_WEIGHT = 1;

/** Number of tasks of one team that are waiting in a queue. */
export interface TeamBacklog {
  readonly team: string;
  readonly waiting: number;
}

/** The inputs of an admission decision. */
export interface AdmissionInput {
  readonly team: string;
  /** Number of tasks to admit. */
  readonly newTasks: number;
  /** Waiting tasks of every team, including this one. */
  readonly backlog: readonly TeamBacklog[];
  readonly maxWaiting: number;
  /** Number of tasks of this team that are waiting or running. */
  readonly teamTasks: number;
  /** Maximum number of tasks of this team; undefined for no limit. */
  readonly quota: number | undefined;
  readonly weights: Readonly<Record<string, number>>;
  /** Measured drain rate; undefined while it is unknown. */
  readonly startsPerSecond: number | undefined;
  /** Expected run time of the last task. */
  readonly expectedRunMs: Millis;
  /** Time until the deadline; undefined to admit regardless of the wait. */
  readonly deadlineMs: Millis | undefined;
}

/** Admits tasks, or refuses them with a "not run" failure. */
export function checkAdmission(input: AdmissionInput): Result<void, Failure> {
  const {team, newTasks, quota, startsPerSecond: rate} = input;
  const waiting = countWaiting(input.backlog);
  const excessWaiting = waiting + newTasks - input.maxWaiting;
  if (excessWaiting > 0) {
    return Err(
      createFailure(
        FailureCode.QueueFull,
        {waiting, limit: input.maxWaiting},
        {retryAfterMs: estimateRetryMs(excessWaiting, rate)},
      ),
    );
  }
  if (quota !== undefined && input.teamTasks + newTasks > quota) {
    const excess = input.teamTasks + newTasks - quota;
    return Err(
      createFailure(
        FailureCode.QuotaExceeded,
        {team, limit: quota},
        {retryAfterMs: estimateRetryMs(excess, rate)},
      ),
    );
  }
  return checkDeadline(input);
}

/** Number of starts up to and including the last of the new tasks. */
export function countTasksAhead(input: AdmissionInput): number {
  const getWeight = (team: string) => input.weights[team] ?? DEFAULT_WEIGHT;
  const ownBacklog = input.backlog.find(({team}) => team === input.team);
  const ownTasks = (ownBacklog?.waiting ?? 0) + input.newTasks;
  let tasksAhead = ownTasks;
  for (const other of input.backlog) {
    if (other.team === input.team) continue;
    const turns = (ownTasks * getWeight(other.team)) / getWeight(input.team);
    tasksAhead += Math.min(other.waiting, turns);
  }
  return tasksAhead;
}

/** Estimates the time to drain `tasks`, clamped to the range of retry delays. */
export function estimateRetryMs(
  tasks: number,
  startsPerSecond: number | undefined,
): Millis {
  if (startsPerSecond === undefined || startsPerSecond <= 0) {
    return DEFAULT_RETRY_MS;
  }
  return clampRetryMs((tasks * MS_PER_SECOND) / startsPerSecond);
}

function checkDeadline(input: AdmissionInput): Result<void, Failure> {
  const {deadlineMs, startsPerSecond: rate} = input;
  if (deadlineMs === undefined || rate === undefined) return Ok(undefined);
  // An empty queue means no wait; the rate may be from an earlier, slower time.
  if (countWaiting(input.backlog) === 0) return Ok(undefined);
  const waitMs =
    rate > 0 ? (countTasksAhead(input) * MS_PER_SECOND) / rate : Infinity;
  const estimateMs = waitMs + input.expectedRunMs;
  if (estimateMs <= deadlineMs) return Ok(undefined);
  return Err(
    createFailure(
      FailureCode.WaitTooLong,
      {
        estimateMs: Math.round(Math.min(estimateMs, Number.MAX_SAFE_INTEGER)),
        deadlineMs: Math.round(deadlineMs),
      },
      {retryAfterMs: clampRetryMs(estimateMs - deadlineMs)},
    ),
  );
}

function countWaiting(backlog: readonly TeamBacklog[]): number {
  return backlog.reduce((sum, {waiting}) => sum + waiting, 0);
}

function clampRetryMs(ms: Millis): Millis {
  return Math.min(Math.max(ms, MIN_RETRY_MS), MAX_RETRY_MS);
}
