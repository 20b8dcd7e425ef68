/** Whether a job's tasks are taken in: all of them or none. */
import {checkAdmission} from '@goldcrestpier/limits';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {
  BackendKind,
  createFailure,
  FailureCode,
  type Failure,
  type PlacedTask,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {EffectiveSettings} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import {describeNeeds, fitsFleet} from '../fit/index.js';
import type {RunEstimates} from '../speeds/index.js';
import {kindOf, poolOf} from '../view.js';
import type {PoolQueue} from './pool_queue.js';

const UNAVAILABLE_RETRY_MS = 1_000;

/** What admission looks at. */
export interface AdmitParts {
  readonly servers: () => readonly Server[];
  readonly settingsOf: (pool: string) => EffectiveSettings;
  readonly queueOf: (pool: string) => PoolQueue;
  readonly estimates: RunEstimates;
}

/** A refusal, and the pool that it is about. */
export interface PoolRefusal {
  readonly pool: string;
  readonly failure: Failure;
}

/** Checks the tasks pool by pool and changes nothing. */
export function admit(
  parts: AdmitParts,
  tasks: readonly PlacedTask[],
  now: Millis,
): Result<void, PoolRefusal> {
  for (const [pool, group] of groupByPool(tasks)) {
    const checked = checkServers(parts, pool, group).andThen(() =>
      checkLimits(parts, pool, group, now),
    );
    if (checked.isErr()) return Err({pool, failure: checked.error});
  }
  return Ok(undefined);
}

function checkServers(
  {servers}: AdmitParts,
  pool: string,
  tasks: readonly PlacedTask[],
): Result<void, Failure> {
  const serving = servers().filter(server => server.pool === pool);
  if (!serving.some(({state}) => state === ServerState.Live)) {
    return Err(
      createFailure(
        FailureCode.BackendUnavailable,
        {pool},
        {retryAfterMs: UNAVAILABLE_RETRY_MS},
      ),
    );
  }
  for (const {target} of tasks) {
    if (target.kind !== BackendKind.Worker) continue;
    if (fitsFleet(target.needs, serving)) continue;
    const needs = describeNeeds(target.needs);
    return Err(createFailure(FailureCode.ImpossibleNeeds, {needs}));
  }
  return Ok(undefined);
}

function checkLimits(
  parts: AdmitParts,
  pool: string,
  tasks: readonly PlacedTask[],
  now: Millis,
): Result<void, Failure> {
  const [first] = tasks;
  if (first === undefined) return Ok(undefined);
  const {queue, fairness, admission} = parts.settingsOf(pool);
  const waiting = parts.queueOf(pool);
  const {team, deadlineAt, declaredMs} = first;
  return checkAdmission({
    team,
    adding: tasks.length,
    backlog: waiting.backlog(),
    maxWaiting: queue.maxWaiting,
    teamTasks: waiting.tasksOf(team),
    quota: fairness.quotas[team],
    weights: fairness.weights,
    startsPerSecond: waiting.drain.perSecond(now),
    expectedRunMs: parts.estimates.expectedMs(kindOf(first), declaredMs),
    deadlineMs: admission.byEstimate ? deadlineAt - now : undefined,
  });
}

function groupByPool(tasks: readonly PlacedTask[]): Map<string, PlacedTask[]> {
  const groups = new Map<string, PlacedTask[]>();
  for (const task of tasks) {
    const pool = poolOf(task.target);
    const group = groups.get(pool);
    if (group === undefined) groups.set(pool, [task]);
    else group.push(task);
  }
  return groups;
}
