/** What a cluster is made of. */
import type {RunnerOptions} from '../runner/index.js';
import type {WorkerOptions} from '../worker/index.js';
import type {NetworkDelays} from './network.js';

/** A table of the settings file of an entry instance. */
export type SettingsTable = Readonly<Record<string, unknown>>;

/** One entry instance. */
export interface EntryPlan {
  readonly name: string;
  /** Size relative to the others; 1 where it is absent. */
  readonly weight?: number;
  /** Whether it is left for `startEntry`; false where it is absent. */
  readonly startsLater?: boolean;
  /** Tables and keys that are laid over the settings file. */
  readonly settings?: SettingsTable;
}

/** One runner. */
export interface RunnerPlan extends RunnerOptions {
  readonly service: string;
}

/** One guarded worker. */
export interface WorkerPlan extends WorkerOptions {
  readonly rack?: string;
}

/** One availability zone. */
export interface ZonePlan {
  readonly name: string;
  readonly entries: readonly EntryPlan[];
  readonly runners: readonly RunnerPlan[];
  readonly workers: readonly WorkerPlan[];
}

/** A whole cluster. */
export interface ClusterPlan {
  readonly zones: readonly ZonePlan[];
  /** Whether relays stand between zones, platform and clients. */
  readonly isRelayed?: boolean;
  /** Delays of the relays; none where they are absent. */
  readonly delays?: NetworkDelays;
  /** How long a change of the instance list takes to show, in ms. */
  readonly listLagMs?: number;
  /** Processes that share the runners and workers; 1 where it is absent. */
  readonly standinProcesses?: number;
  /** Level of the entry instances' logs; `info` where it is absent. */
  readonly logLevel?: string;
}

/** How many of each kind a zone of `planZones` has. */
export interface ZoneShape {
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly runnersPerZone?: number;
  readonly service?: string;
  /** Taken in turn by the servers of a zone; 1 where it is absent. */
  readonly speeds?: readonly number[];
  readonly workersPerZone?: number;
  readonly worker?: Omit<WorkerPlan, 'name'>;
}

const DEFAULT_SERVICE = 'invoicing';
const WORKERS_PER_RACK = 8;

/** Plans equal zones, with names that tell where everything is. */
export function planZones(shape: ZoneShape): ZonePlan[] {
  const speeds = shape.speeds ?? [1];
  const pickSpeed = (index: number) => speeds[index % speeds.length] ?? 1;
  return shape.zones.map((name, zone) => ({
    name,
    entries: count(shape.entriesPerZone, index => ({
      name: `e${zone + 1}-${index + 1}`,
    })),
    runners: count(shape.runnersPerZone ?? 0, index => ({
      name: `r${zone + 1}-${index + 1}`,
      service: shape.service ?? DEFAULT_SERVICE,
      speed: pickSpeed(index),
    })),
    workers: count(shape.workersPerZone ?? 0, index => ({
      speed: pickSpeed(index),
      rack: `${name}-${Math.floor(index / WORKERS_PER_RACK) + 1}`,
      ...shape.worker,
      name: `w${zone + 1}-${index + 1}`,
    })),
  }));
}

function count<Item>(length: number, create: (index: number) => Item): Item[] {
  return Array.from({length}, (_, index) => create(index));
}
