/** Admission of a job's tasks: all of them or none. */
import {checkAdmission} from '@goldcrestpier/limits';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {
  BackendKind,
  createFailure,
  FailureCode,
  type Failure,
  type PlacementTask,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {EffectiveSettings} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import {describeNeeds, fitsAnyWorker} from '../fit/index.js';
import type {RunEstimates} from '../speeds/index.js';
import {kindOf, poolOf} from '../view.js';
import type {PoolQueue} from './pool_queue.js';

/** Suggested retry delay when a pool has no live server. */
const UNAVAILABLE_RETRY_MS = 1_000;

/** Options of `admit`. */
export interface AdmitOptions {
  readonly servers: () => readonly Server[];
  readonly settingsOf: (pool: string) => EffectiveSettings;
  readonly queueOf: (pool: string) => PoolQueue;
  readonly estimates: RunEstimates;
}

/** A refusal and the pool that caused it. */
export interface PoolRefusal {
  readonly pool: string;
  readonly failure: Failure;
}

/** Checks the tasks pool by pool without changing any state. */
export function admit(
  options: AdmitOptions,
  tasks: readonly PlacementTask[],
  now: Millis,
): Result<void, PoolRefusal> {
  for (const [pool, group] of groupByPool(tasks)) {
    const checked = checkServers(options, pool, group).andThen(() =>
      checkLimits(options, pool, group, now),
    );
    if (checked.isErr()) return Err({pool, failure: checked.error});
  }
  return Ok(undefined);
}

function checkServers(
  {servers}: AdmitOptions,
  pool: string,
  tasks: readonly PlacementTask[],
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
    if (fitsAnyWorker(target.needs, serving)) continue;
    const needs = describeNeeds(target.needs);
    return Err(createFailure(FailureCode.ImpossibleNeeds, {needs}));
  }
  return Ok(undefined);
}

function checkLimits(
  options: AdmitOptions,
  pool: string,
  tasks: readonly PlacementTask[],
  now: Millis,
): Result<void, Failure> {
  const [first] = tasks;
  if (first === undefined) return Ok(undefined);
  const {queue, fairness, admission} = options.settingsOf(pool);
  const waiting = options.queueOf(pool);
  const {team, deadlineAt, declaredMs} = first;
  return checkAdmission({
    team,
    newTasks: tasks.length,
    backlog: waiting.backlog(),
    maxWaiting: queue.maxWaiting,
    teamTasks: waiting.tasksOf(team),
    quota: fairness.quotas[team],
    weights: fairness.weights,
    startsPerSecond: waiting.drainRate.getStartsPerSecond(now),
    expectedRunMs: options.estimates.expectedMs(kindOf(first), declaredMs),
    deadlineMs: admission.byEstimate ? deadlineAt - now : undefined,
  });
}

function groupByPool(
  tasks: readonly PlacementTask[],
): Map<string, PlacementTask[]> {
  const groups = new Map<string, PlacementTask[]>();
  for (const task of tasks) {
    const pool = poolOf(task.target);
    const group = groups.get(pool);
    if (group === undefined) groups.set(pool, [task]);
    else group.push(task);
  }
  return groups;
}
