/** Assigns waiting tasks to workers; refuses jobs that can't end in time. */
import type {Millis} from '@goldcrestpier/runtime';
import type {RemoteVacancies} from '../../remote_vacancies/index.js';
import {
  DEFAULT_REMOTE_FACTOR,
  planStep,
  type Demand,
  type Place,
  type RemotePlace,
  type StepPlan,
} from '../../placement/index.js';
import type {WorkerRecord} from '../../workers/index.js';
import type {DispatcherOptions} from '../options.js';
import type {Registry} from '../registry.js';
import {createRun} from './create_run.js';
import {mustRunAlone, placeSuspectedTasks} from './crashing_tasks.js';
import {createDemand} from './create_demand.js';
import {type EarlierRuns, refuseOverloaded} from '../intake/index.js';
import {type JobRecord, sortJobs, type TaskRecord} from '../jobs/index.js';
import {findMinWorth} from './min_worth.js';
import {
  isLargeJob,
  limitPlannedTasks,
  limitUnansweredStarts,
} from './start_sharing.js';
import {findBlockEnd, endIfBlocked} from '../starts/index.js';
import {moveLateRuns} from './move_late_runs.js';
import type {Command} from '../commands.js';
import {limitToZones} from './limit_to_zones.js';
import {PlacementRound} from './placement_round.js';
import {PlannedStarts} from './planned_starts.js';

/**
 * Longest time between placements, in ms: expected ends and deadlines come
 * closer although nothing changes.
 */
const MAX_PLACEMENT_INTERVAL_MS = 20;

/** Excludes one worker, unless it is the only one. */
function excludeWorker(
  workers: readonly WorkerRecord[],
  workerId: string | undefined,
): readonly WorkerRecord[] {
  if (workerId === undefined) return workers;
  const others = workers.filter(({info}) => info.id !== workerId);
  return others.length > 0 ? others : workers;
}

/** Places the waiting tasks of one registry. */
export class Placer {
  private lastPlacedAt: Millis = -Infinity;
  private readonly remoteFactor: number;
  private readonly plannedStarts: PlannedStarts;

  constructor(
    private readonly registry: Registry,
    private readonly remoteVacancies: RemoteVacancies,
    private readonly earlierRuns: EarlierRuns,
    {remoteFactor = DEFAULT_REMOTE_FACTOR}: DispatcherOptions,
  ) {
    this.remoteFactor = remoteFactor;
    this.plannedStarts = new PlannedStarts(registry.observer);
  }

  /**
   * Places all tasks that fit somewhere now, if anything that decides about it
   * has changed, or enough time has passed.
   */
  placeIfDue(now: Millis): Command[] {
    const isOverdue = now - this.lastPlacedAt >= MAX_PLACEMENT_INTERVAL_MS;
    return this.registry.isPlacementDue || isOverdue ? this.place(now) : [];
  }

  /** Places all tasks that fit somewhere now; returns the commands. */
  place(now: Millis): Command[] {
    if (this.registry.soleHolder.isResuming(now)) return [];
    const {hasStartBacklog} = this.registry;
    this.registry.isPlacementDue = false;
    this.registry.hasStartBacklog = false;
    this.lastPlacedAt = now;
    // With a stale list, tasks would start on workers that have left since.
    const {isListConfirmed, evacuation} = this.registry;
    if (!isListConfirmed && !evacuation.isActive) return [];
    const waiting = [...this.registry.jobs.values()]
      .filter(record => this.isPlaceable(record, now))
      .filter(record => !endIfBlocked(this.registry, record, now));
    const round = new PlacementRound(
      this.registry,
      waiting,
      now,
      this.remoteFactor,
    );
    moveLateRuns(this.registry, round, now);
    const sorted = sortJobs(waiting, {
      hasStartBacklog,
      hasManyWaiting: round.hasManyWaiting,
      fairnessOf: job => this.registry.fairShares.getFairness(job, now),
    });
    const alone = placeSuspectedTasks(this.registry, sorted, round, now);
    const others = sorted.flatMap(record => this.placeJob(record, round, now));
    this.plannedStarts.report();
    this.registry.startRate.record(0, this.registry.hasStartBacklog, now);
    return [...alone, ...others];
  }

  /** Places as many tasks of a job as may be planned in this round. */
  private placeJob(
    record: JobRecord,
    round: PlacementRound,
    now: Millis,
  ): Command[] {
    const limit = this.limitTasks(record, round);
    const commands = this.groupTasks(record, limit, now).flatMap(tasks =>
      this.placeTasks(record, tasks, round, now),
    );
    // What is left has no place in the limit, though it may have one on a worker.
    if (commands.length === limit && record.hasReadyTasks)
      this.registry.hasStartBacklog = true;
    return commands;
  }

  /** Whether waiting tasks of the job may be started now. */
  private isPlaceable(record: JobRecord, now: Millis): boolean {
    if (record.pendingOutcome !== undefined || record.waitingCount === 0)
      return false;
    if (record.isReattached) return false;
    if (this.mayRunElsewhere(record, now)) return false;
    // Runs of its tasks that another zone delegated to this one must end first.
    if (this.registry.inboundTasks.has(record.id)) return false;
    // A job that its client submits again may run on a worker that has not
    // been polled yet.
    if (!this.earlierRuns.haveEnded(now) && this.registry.hasUnpolledWorkers) {
      return false;
    }
    return this.earlierRuns.areAllKnown(record, now);
  }

  /** Whether another zone may run tasks of a job that is new here. */
  private mayRunElsewhere(record: JobRecord, now: Millis): boolean {
    const {remoteRuns, delegationSurvey} = this.registry;
    if (record.isHeldBack && remoteRuns.mayRun(record.id, now)) return true;
    if (record.isInbound || record.isResumed) return false;
    return delegationSurvey.isAwaitingReports(now);
  }

  /**
   * Groups the first ready tasks by step and by the worker that they must avoid,
   * without those that must run alone or can't be started yet.
   */
  private groupTasks(
    record: JobRecord,
    limit: number,
    now: Millis,
  ): readonly TaskRecord[][] {
    const {crashes, unansweredStarts} = this.registry.history;
    const hasCrashes = crashes.hasJob(record.submittedId);
    const isBlocked = unansweredStarts.hasJob(record.submittedId);
    const groups = new Map<string, TaskRecord[]>();
    let left = limit;
    for (const task of record.readyTasks()) {
      if (hasCrashes && mustRunAlone(this.registry, task)) continue;
      if (isBlocked && findBlockEnd(this.registry, task, now) !== undefined)
        continue;
      if (left === 0) break;
      left -= 1;
      const key = `${task.name.step} ${task.movedFrom ?? ''}`;
      const group = groups.get(key);
      if (group === undefined) groups.set(key, [task]);
      else group.push(task);
    }
    return [...groups.values()];
  }

  /** Limits how many tasks of the job are planned in this round. */
  private limitTasks(record: JobRecord, round: PlacementRound): number {
    if (!isLargeJob(record.tasks.length)) return record.tasks.length;
    const limit = limitUnansweredStarts(record);
    const startRoom = round.countStartRoom(record.job.service, limit);
    return limitPlannedTasks(record, startRoom);
  }

  /** Places tasks with the same requirements. */
  private placeTasks(
    record: JobRecord,
    tasks: readonly TaskRecord[],
    round: PlacementRound,
    now: Millis,
  ): Command[] {
    // Another step may just have caused the job to be refused.
    if (record.pendingOutcome !== undefined) return [];
    const {remoteVacancies, registry} = this;
    const planned = limitToZones(registry, remoteVacancies, record, tasks, now);
    const plan = this.plan(record, planned, round, now);
    if (this.isNotWorthStarting(record, plan, round)) {
      refuseOverloaded(this.registry, record, now);
      return [];
    }
    return plan.places.flatMap((place, index) => {
      const task = tasks[index];
      if (task === undefined) return [];
      return this.usePlace(record, task, place, round, now);
    });
  }

  private plan(
    record: JobRecord,
    tasks: readonly TaskRecord[],
    round: PlacementRound,
    now: Millis,
  ): StepPlan {
    const [first] = tasks;
    if (first === undefined) return {places: [], worth: 0};
    const {service} = record.job;
    const {runTimes} = this.registry;
    const demand = createDemand(record, first, tasks.length);
    const workers = excludeWorker(
      round.usableWorkers(service),
      first.movedFrom,
    );
    const listRemotes = () => this.listRemotePlaces(record, demand, now);
    const forecast = {runTimes, upcoming: round.findForecast(service)};
    return planStep(demand, workers, listRemotes, forecast, now);
  }

  /** Lists places in other zones, for as many runs as may be delegated. */
  private listRemotePlaces(
    record: JobRecord,
    demand: Demand,
    now: Millis,
  ): readonly RemotePlace[] {
    if (record.isInbound) return [];
    const {runTimes, delegatedRuns, evacuation} = this.registry;
    const factors = {runTimes, remoteFactor: this.remoteFactor};
    const {service} = record.job;
    const limits = {
      includesConstrained: evacuation.isActive,
      isExcluded: (zone: string) =>
        !evacuation.mayDelegate(record.id, zone, now),
    };
    return this.remoteVacancies
      .listPlaces(service, demand, factors, limits, now)
      .slice(0, Math.max(0, evacuation.maxDelegatedRuns - delegatedRuns.size));
  }

  /** Whether the job has not started and its plan is worth too little. */
  private isNotWorthStarting(
    record: JobRecord,
    {worth}: StepPlan,
    {hasManyWaiting, now}: PlacementRound,
  ): boolean {
    const {hasStarted, isInbound, planned, job} = record;
    if (hasStarted || isInbound) return false;
    // Workers that a new holder has not polled yet may have free capacity.
    const {evacuation} = this.registry;
    const mayBeFree = this.registry.hasUnpolledWorkersFor(job.service);
    if (mayBeFree && !evacuation.isActive) return false;
    const isNew = planned === undefined;
    const {fairShares} = this.registry;
    const fairness = fairShares.getFairness(job, now);
    const sizeClass = fairShares.classOf(job);
    const conditions = {hasManyWaiting, isNew, fairness};
    const minWorth = findMinWorth(record, conditions);
    record.planned = {worth, minWorth, fairness, sizeClass};
    return worth < minWorth;
  }

  private usePlace(
    record: JobRecord,
    task: TaskRecord,
    place: Place,
    round: PlacementRound,
    now: Millis,
  ): Command[] {
    const forecast = round.findForecast(record.job.service);
    switch (place.kind) {
      case 'free': {
        const {worker, expectedMs} = place;
        const run = createRun(record, task, worker.info.id, expectedMs, now);
        this.plannedStarts.start(forecast, task, place, now);
        this.registry.beginRun(record, task, run);
        worker.startWindow.add(run);
        return [{kind: 'start', run, payload: record.job.payload}];
      }
      case 'deferred':
        this.registry.hasStartBacklog = true;
        return [];
      case 'remote': {
        const {zone, expectedMs, reserve} = place;
        reserve();
        const run = createRun(record, task, zone, expectedMs, now);
        run.delegatedTo = zone;
        this.registry.beginRun(record, task, run);
        return [{kind: 'lend', zone, run, record, isAdopted: false}];
      }
      case 'later':
        this.plannedStarts.reserve(forecast, task, place);
        return [];
    }
  }
}
