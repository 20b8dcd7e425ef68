/** Description of a cluster to launch. */
import type {RunnerOptions} from '../runner/index.js';
import type {WorkerOptions} from '../worker/index.js';
import type {NetworkDelays} from './network.js';

/** Table of an entry instance's settings file. */
export type SettingsTable = Readonly<Record<string, unknown>>;

/** An entry instance. */
export interface EntryPlan {
  readonly name: string;
  /** Size relative to the other entry instances; 1 by default. */
  readonly weight?: number;
  /** Whether it is started by `startEntry` only; false by default. */
  readonly startsLater?: boolean;
  /** Tables and keys that override those of the settings file. */
  readonly settings?: SettingsTable;
}

/** A runner. */
export interface RunnerPlan extends RunnerOptions {
  readonly service: string;
}

/** A guarded worker. */
export interface WorkerPlan extends WorkerOptions {
  readonly rack?: string;
}

/** An availability zone. */
export interface ZonePlan {
  readonly name: string;
  readonly entries: readonly EntryPlan[];
  readonly runners: readonly RunnerPlan[];
  readonly workers: readonly WorkerPlan[];
}

/** A cluster. */
export interface ClusterPlan {
  readonly zones: readonly ZonePlan[];
  /** Whether zones, platform and clients connect through relays. */
  readonly isRelayed?: boolean;
  /** Delays of the relays; none by default. */
  readonly delays?: NetworkDelays;
  /** Delay until a change of an instance list is visible; 0 by default. */
  readonly listLagMs?: number;
  /** Number of processes that host the runners and workers; 1 by default. */
  readonly standinProcesses?: number;
  /** Log level of the entry instances; `info` by default. */
  readonly logLevel?: string;
}

/** Names of the zones, and what each of them has. */
export interface PlanZonesOptions {
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly runnersPerZone?: number;
  readonly service?: string;
  /** Assigned in turn to the servers of a zone; 1 by default. */
  readonly speeds?: readonly number[];
  readonly workersPerZone?: number;
  readonly worker?: Omit<WorkerPlan, 'name'>;
}

const DEFAULT_SERVICE = 'invoicing';
const WORKERS_PER_RACK = 8;

/** Plans equal zones. Names have the zone's number: `e1-2`, `r1-2`, `w1-2`. */
export function planZones(options: PlanZonesOptions): ZonePlan[] {
  const speeds = options.speeds ?? [1];
  const pickSpeed = (index: number) => speeds[index % speeds.length] ?? 1;
  return options.zones.map((name, zone) => ({
    name,
    entries: createItems(options.entriesPerZone, index => ({
      name: `e${zone + 1}-${index + 1}`,
    })),
    runners: createItems(options.runnersPerZone ?? 0, index => ({
      name: `r${zone + 1}-${index + 1}`,
      service: options.service ?? DEFAULT_SERVICE,
      speed: pickSpeed(index),
    })),
    workers: createItems(options.workersPerZone ?? 0, index => ({
      speed: pickSpeed(index),
      rack: `${name}-${Math.floor(index / WORKERS_PER_RACK) + 1}`,
      ...options.worker,
      name: `w${zone + 1}-${index + 1}`,
    })),
  }));
}

function createItems<Item>(
  length: number,
  create: (index: number) => Item,
): Item[] {
  return Array.from({length}, (_, index) => create(index));
}
