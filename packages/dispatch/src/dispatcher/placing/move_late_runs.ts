/**
 * Moves runs that would end too late because their worker has become slow. Such
 * a run is stopped if another worker can still finish the task in time, given
 * the length that the task shows; a task is moved only once. A run that is late
 * because its task is long would take as long elsewhere, so it is moved only to
 * a worker that is known to be faster.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {countFitting, planStep, type Demand} from '../../placement/index.js';
import {estimateLengthFactor} from '../../work_estimates/index.js';
import {RunPhase, type Run} from '../../workers/index.js';
import {EXPECTED_STOP_MS} from '../options.js';
import type {Registry} from '../registry.js';
import {createDemand} from './create_demand.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import {findBlockEnd} from '../starts/index.js';
import {collectEvidence} from '../worker_state/index.js';
import type {PlacementRound} from './placement_round.js';

/** Time a run must have taken before its progress is judged, in ms. */
const MIN_RUN_TIME_MS = 150;
/** Time after which a run that was not moved is judged again, in ms. */
const JUDGE_INTERVAL_MS = 50;
/** Share of its run time by which a task may take longer in its new place. */
const LENGTH_MARGIN = 0.1;

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
      const evidence = collectEvidence(registry, record, run, now);
      const lengthFactor = estimateLengthFactor(evidence);
      const late = {record, task, run, lengthFactor};
      if (!hasBetterPlace(registry, late, round, now)) continue;
      task.movedFrom = run.workerId;
      registry.runEnds.stop(run);
      registry.observer.runMoved(run, lengthFactor);
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
  if (now < run.judgeAt) return undefined;
  return run.expectedEndAt > usefulUntil ? run : undefined;
}

/** A late run, and how long its task takes. */
interface LateRun {
  readonly record: JobRecord;
  readonly task: TaskRecord;
  readonly run: Run;
  /** Multiple of its prediction that the task takes on another worker. */
  readonly lengthFactor: number;
}

function hasBetterPlace(
  registry: Registry,
  {record, task, run, lengthFactor}: LateRun,
  round: PlacementRound,
  now: Millis,
): boolean {
  const others = round
    .usableWorkers(record.job.service)
    .filter(({info}) => info.id !== run.workerId);
  const {need} = task.step;
  const isAnyFree = others.some(
    worker => countFitting(need, worker.computeFreeResources()) > 0,
  );
  if (!isAnyFree) return false;
  run.judgeAt = now + JUDGE_INTERVAL_MS;
  const demand = lengthenDemand(createDemand(record, task, 1), lengthFactor);
  const {runTimes} = registry;
  const forecast = {runTimes, upcoming: round.findForecast(record.job.service)};
  const {places} = planStep(
    demand,
    others,
    listNone,
    forecast,
    now + EXPECTED_STOP_MS,
  );
  const [place] = places;
  if (place?.kind !== 'free') return false;
  const endsBy =
    now + EXPECTED_STOP_MS + place.expectedMs * (1 + LENGTH_MARGIN);
  return endsBy < Math.min(run.expectedEndAt, record.usefulUntil);
}

function lengthenDemand(demand: Demand, factor: number): Demand {
  const {step} = demand;
  return {...demand, step: {...step, estimateMs: step.estimateMs * factor}};
}
