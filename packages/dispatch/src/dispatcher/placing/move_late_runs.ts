/**
 * Moves runs that would end too late, for example because their worker has
 * become slow. Such a run is stopped if another worker can still finish the
 * task in time; a task is moved only once.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {countFitting, planStep} from '../../placement/index.js';
import {RunPhase, type Run} from '../../workers/index.js';
import type {Registry} from '../registry.js';
import {createDemand} from './create_demand.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import {findBlockEnd} from '../starts/index.js';
import type {PlacementRound} from './placement_round.js';

/** Time a run must have taken before its progress is judged, in ms. */
const MIN_RUN_TIME_MS = 150;
/** Worth that a task must have in its new place, 0 to 1. */
const MIN_WORTH = 0.5;
/** Time after which a stopped run has certainly ended, in ms. */
const MAX_STOP_MS = 60;

/** Marks late runs to be stopped if another worker can take their tasks. */
export function moveLateRuns(
  registry: Registry,
  round: PlacementRound,
  now: Millis,
): void {
  for (const record of registry.jobs.values()) {
    if (!record.isRunning || record.isInbound) continue;
    if (record.pendingOutcome !== undefined) continue;
    for (const task of record.runningTasks()) {
      const run = findLateRun(record, task, now);
      if (run === undefined) continue;
      if (findBlockEnd(registry, task, now) !== undefined) continue;
      if (!hasBetterPlace(registry, record, task, run, round, now)) continue;
      task.movedFrom = run.workerId;
      registry.runEnds.stop(run);
    }
  }
}

/** A late run is moved within its zone. */
const listNone = () => [];

function findLateRun(
  {usefulUntil}: JobRecord,
  {state, movedFrom}: TaskRecord,
  now: Millis,
): Run | undefined {
  if (state.kind !== 'running' || movedFrom !== undefined) return undefined;
  const {run} = state;
  if (run.phase !== RunPhase.Running || run.delegatedTo !== undefined) {
    return undefined;
  }
  if (now - run.startedAt < MIN_RUN_TIME_MS) return undefined;
  return run.expectedEndAt > usefulUntil ? run : undefined;
}

function hasBetterPlace(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  {workerId}: Run,
  round: PlacementRound,
  now: Millis,
): boolean {
  const others = round
    .usableWorkers(record.job.service)
    .filter(({info}) => info.id !== workerId);
  const {need} = task.step;
  const isAnyFree = others.some(
    worker => countFitting(need, worker.computeFreeResources()) > 0,
  );
  if (!isAnyFree) return false;
  const demand = createDemand(record, task, 1);
  const {runTimes} = registry;
  const forecast = {runTimes, upcoming: round.findForecast(record.job.service)};
  const {places} = planStep(
    demand,
    others,
    listNone,
    forecast,
    now + MAX_STOP_MS,
  );
  const [place] = places;
  return place?.kind === 'free' && place.worth >= MIN_WORTH;
}
