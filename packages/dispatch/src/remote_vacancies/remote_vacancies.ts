/**
 * Free capacity that the holders of other zones have reported. Single tasks are
 * delegated to a zone that can start them at once, when a job has more tasks
 * than the free workers of one zone can run or when the load differs between
 * zones. A report may be stale, so the other holder may refuse a task; it never
 * queues one.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {
  countFitting,
  estimateWorth,
  type Demand,
  type RemotePlace,
} from '../placement/index.js';
import type {RunTimes} from '../run_times/index.js';
import type {Resources, Step} from '../work/index.js';

/** Maximum age of a report that is used, in ms. */
const MAX_AGE_MS = 500;
/** Round-trip time to another zone, in ms. */
const ROUND_TRIP_MS = 4;

/** Free capacity on one worker of another zone. */
export interface Vacancy {
  /** Run time there relative to a worker of typical speed. */
  readonly slowness: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
}

/** Free capacity of one service in another zone. */
export interface ZoneVacancies {
  readonly zone: string;
  readonly service: string;
  readonly vacancies: readonly Vacancy[];
}

/** Which tasks are delegated, and to which zones. */
export interface DelegationLimits {
  /** Whether tasks with constraints are delegated too; their zone checks them. */
  readonly includesConstrained: boolean;
  readonly isExcluded: (zone: string) => boolean;
}

/** What the run time of a task in another zone is predicted from. */
export interface RunTimeFactors {
  readonly runTimes: RunTimes;
  /** Factor on the run time of a task outside the rack that has its data. */
  readonly remoteFactor: number;
}

interface VacancyRecord {
  readonly reported: ZoneVacancies;
  readonly reportedAt: Millis;
  /** Capacity that remains after the delegations since the report. */
  remaining: Vacancy[];
}

/** Keeps the latest report of each zone and service. */
export class RemoteVacancies {
  private readonly records = new Map<string, VacancyRecord>();

  /** Replaces the report of a zone. */
  update(reported: ZoneVacancies, now: Millis): void {
    const remaining = [...reported.vacancies];
    const key = `${reported.zone} ${reported.service}`;
    this.records.set(key, {reported, reportedAt: now, remaining});
  }

  /** Drops the capacity of a zone until its next report. */
  clearZone(zone: string): void {
    for (const record of this.records.values()) {
      if (record.reported.zone === zone) record.remaining = [];
    }
  }

  /** Lists the zones with a recent report for the service. */
  listZones(service: string, now: Millis): readonly string[] {
    return [...this.records.values()]
      .filter(record => isRecent(record, service, now))
      .map(({reported}) => reported.zone);
  }

  /** Lists places in other zones for the demand. */
  listPlaces(
    service: string,
    demand: Demand,
    factors: RunTimeFactors,
    {includesConstrained, isExcluded}: DelegationLimits,
    now: Millis,
  ): RemotePlace[] {
    if (!includesConstrained && !isDelegable(demand.step)) return [];
    const places: RemotePlace[] = [];
    for (const record of this.records.values()) {
      const {zone} = record.reported;
      if (!isRecent(record, service, now) || isExcluded(zone)) continue;
      const inZone: RemotePlace[] = [];
      for (const index of record.remaining.keys()) {
        inZone.push(...listWorkerPlaces(record, index, demand, factors, now));
      }
      const max = limitPlaces(demand, zone);
      places.push(...(max < inZone.length ? inZone.slice(0, max) : inZone));
    }
    return places;
  }
}

function isRecent(
  {reported, reportedAt}: VacancyRecord,
  service: string,
  now: Millis,
): boolean {
  return reported.service === service && now - reportedAt < MAX_AGE_MS;
}

/** A zone may have one worker for the tasks, so its limit is that of a worker. */
function limitPlaces({step, countRunningOn}: Demand, zone: string): number {
  if (step.maxPerWorker === undefined) return Infinity;
  return Math.max(0, step.maxPerWorker - countRunningOn(zone));
}

/** Lists the places on one worker of another zone. */
function listWorkerPlaces(
  record: VacancyRecord,
  index: number,
  {queue, step, due, count}: Demand,
  {runTimes, remoteFactor}: RunTimeFactors,
  now: Millis,
): RemotePlace[] {
  const vacancy = record.remaining[index];
  if (vacancy === undefined) return [];
  // Reports don't tell accelerators, so the other zone decides about them.
  const need = {...step.need, accelerators: 0};
  const fitting = Math.min(count, countFitting(need, toResources(vacancy)));
  if (fitting === 0) return [];
  const typicalMs = runTimes.predict(queue, step.estimateMs);
  const dataFactor = step.dataRack === undefined ? 1 : remoteFactor;
  const expectedMs = typicalMs * vacancy.slowness * dataFactor + ROUND_TRIP_MS;
  const worth = estimateWorth(due, expectedMs, now);
  const {zone} = record.reported;
  const reserve = () => reserveVacancy(record, index, step);
  const place: RemotePlace = {kind: 'remote', zone, worth, expectedMs, reserve};
  return Array.from({length: fitting}, () => place);
}

function toResources({cpuMillis, memoryMb}: Vacancy): Resources {
  return {cpuMillis, memoryMb, accelerators: 0};
}

/** Whether the step's tasks may run in another zone: it has no constraint. */
function isDelegable(step: Step): boolean {
  const placementConstraint =
    step.requiredLabel ?? step.dataRack ?? step.maxPerWorker;
  return placementConstraint === undefined && step.need.accelerators === 0;
}

function reserveVacancy(
  record: VacancyRecord,
  index: number,
  {need}: Step,
): void {
  const vacancy = record.remaining[index];
  if (vacancy === undefined) return;
  record.remaining[index] = {
    slowness: vacancy.slowness,
    cpuMillis: vacancy.cpuMillis - need.cpuMillis,
    memoryMb: vacancy.memoryMb - need.memoryMb,
  };
}
