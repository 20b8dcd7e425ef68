/**
 * Whether a job's tasks are taken in. A refusal is immediate, says why, and
 * says when to come back from the measured rate at which the queue drains.
 */
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';

const MS_PER_SECOND = 1_000;
const SHORTEST_RETRY_MS = 50;
const LONGEST_RETRY_MS = 60_000;
/** Asked of callers while nothing was measured yet. */
const UNMEASURED_RETRY_MS = 1_000;
const DEFAULT_WEIGHT = 1;

/** One team's share of a queue. */
export interface TeamBacklog {
  readonly team: string;
  readonly waiting: number;
}

/** What admission looks at. */
export interface AdmissionInput {
  readonly team: string;
  /** Tasks that ask to be taken in. */
  readonly adding: number;
  /** Tasks of each team that wait already, this team's with them. */
  readonly backlog: readonly TeamBacklog[];
  readonly maxWaiting: number;
  /** Tasks of this team that wait or run. */
  readonly teamTasks: number;
  /** Tasks that this team may have; undefined for no limit. */
  readonly quota: number | undefined;
  readonly weights: Readonly<Record<string, number>>;
  /** Starts per second; undefined while nothing was measured. */
  readonly startsPerSecond: number | undefined;
  /** How long the last of the tasks is expected to run. */
  readonly expectedRunMs: Millis;
  /** Time left to the deadline; undefined to take in whatever it takes. */
  readonly deadlineMs: Millis | undefined;
}

/** Takes tasks in, or refuses them with a failure that is a true not run. */
export function checkAdmission(input: AdmissionInput): Result<void, Failure> {
  const {team, adding, quota, startsPerSecond: rate} = input;
  const waiting = countWaiting(input.backlog);
  const over = waiting + adding - input.maxWaiting;
  if (over > 0) {
    return Err(
      createFailure(
        FailureCode.QueueFull,
        {waiting, limit: input.maxWaiting},
        {retryAfterMs: estimateRetryMs(over, rate)},
      ),
    );
  }
  if (quota !== undefined && input.teamTasks + adding > quota) {
    const excess = input.teamTasks + adding - quota;
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

/** Tasks that start before the last of `adding` does, that one with them. */
export function countAhead(input: AdmissionInput): number {
  const weightOf = (team: string) => input.weights[team] ?? DEFAULT_WEIGHT;
  const mine = input.backlog.find(({team}) => team === input.team);
  const own = (mine?.waiting ?? 0) + input.adding;
  let ahead = own;
  for (const other of input.backlog) {
    if (other.team === input.team) continue;
    const turns = (own * weightOf(other.team)) / weightOf(input.team);
    ahead += Math.min(other.waiting, turns);
  }
  return ahead;
}

/** When `tasks` fewer will wait, bounded to what a caller can use. */
export function estimateRetryMs(
  tasks: number,
  startsPerSecond: number | undefined,
): Millis {
  if (startsPerSecond === undefined || startsPerSecond <= 0) {
    return UNMEASURED_RETRY_MS;
  }
  return bound((tasks * MS_PER_SECOND) / startsPerSecond);
}

function checkDeadline(input: AdmissionInput): Result<void, Failure> {
  const {deadlineMs, startsPerSecond: rate} = input;
  if (deadlineMs === undefined || rate === undefined) return Ok(undefined);
  // Who finds an empty queue waits for nobody; the rate may be of a bad time.
  if (countWaiting(input.backlog) === 0) return Ok(undefined);
  const waitMs =
    rate > 0 ? (countAhead(input) * MS_PER_SECOND) / rate : Infinity;
  const estimateMs = waitMs + input.expectedRunMs;
  if (estimateMs <= deadlineMs) return Ok(undefined);
  return Err(
    createFailure(
      FailureCode.WaitTooLong,
      {
        estimateMs: Math.round(Math.min(estimateMs, Number.MAX_SAFE_INTEGER)),
        deadlineMs: Math.round(deadlineMs),
      },
      {retryAfterMs: bound(estimateMs - deadlineMs)},
    ),
  );
}

function countWaiting(backlog: readonly TeamBacklog[]): number {
  return backlog.reduce((sum, {waiting}) => sum + waiting, 0);
}

function bound(ms: Millis): Millis {
  return Math.min(Math.max(ms, SHORTEST_RETRY_MS), LONGEST_RETRY_MS);
}
