/**
 * Moves runs that would end too late. Answers workers that turn slow while they
 * work: a task of which no end in time can be expected is stopped, once, when
 * another worker can still do it.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {planStep} from '../placement/index.js';
import {RunPhase, type Run} from '../workers/index.js';
import type {Board} from './board.js';
import {createDemand} from './demand.js';
import type {JobRecord, TaskRecord} from './job_record.js';
import type {Scene} from './scene.js';

/** A run is not judged by its progress before this time, in ms. */
const EARLIEST_MS = 150;
/** Worth that a task must have in its new place. */
const LEAST_WORTH = 0.5;
/** Time until the first run has surely ended, in ms. */
const STOP_MS = 60;

/** Has runs stopped that should go on elsewhere. */
export function moveLateRuns(board: Board, scene: Scene, now: Millis): void {
  for (const record of board.jobs.values()) {
    if (record.ending !== undefined || record.isForeign) continue;
    for (const task of record.tasks) {
      const run = findLateRun(record, task, now);
      if (run === undefined) continue;
      if (!hasBetterPlace(board, record, task, run, scene, now)) continue;
      task.stalledOn = run.workerId;
      run.phase = RunPhase.Stopping;
    }
  }
}

function findLateRun(
  {usefulUntil}: JobRecord,
  {state, stalledOn}: TaskRecord,
  now: Millis,
): Run | undefined {
  if (state.kind !== 'running' || stalledOn !== undefined) return undefined;
  const {run} = state;
  if (run.phase !== RunPhase.Running || run.lentTo !== undefined) {
    return undefined;
  }
  if (now - run.startedAt < EARLIEST_MS) return undefined;
  return run.endsAt > usefulUntil ? run : undefined;
}

function hasBetterPlace(
  board: Board,
  record: JobRecord,
  task: TaskRecord,
  {workerId}: Run,
  scene: Scene,
  now: Millis,
): boolean {
  const others = scene
    .usable(record.job.service)
    .filter(({info}) => info.id !== workerId);
  const demand = createDemand(record, task, 1);
  const {durations} = board;
  const forecast = {durations, prospects: scene.prospects};
  const {places} = planStep(demand, others, [], forecast, now + STOP_MS);
  const [place] = places;
  return place?.kind === 'free' && place.worth >= LEAST_WORTH;
}
