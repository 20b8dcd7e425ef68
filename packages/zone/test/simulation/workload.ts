/** What the jobs of a simulation are like. */
import type {Millis} from '@goldcrestpier/runtime';

/** What distinguishes the jobs of a simulation from the usual ones. */
export interface Workload {
  /** Share of the jobs that are sent to the first zone. */
  readonly firstZoneShare: number;
  /** Share of first sends that use a connection to any machine of the zone. */
  readonly keptConnectionShare: number;
  /** Mean time between two jobs, in ms. */
  readonly meanIntervalMs: Millis;
  readonly estimateMs: Millis;
  readonly timeoutMs: Millis;
  /** Share of the jobs whose tasks require a label; 0 by default. */
  readonly labelledShare?: number;
}

/** Jobs of one zone that need the workers of the others. */
export const crowdedWorkload: Workload = {
  firstZoneShare: 0.6,
  keptConnectionShare: 0.4,
  meanIntervalMs: 110,
  estimateMs: 600,
  timeoutMs: 1_500,
};

/** Such jobs with tasks that take most of their time limit. */
export const crowdedLongWorkload: Workload = {
  ...crowdedWorkload,
  meanIntervalMs: 200,
  estimateMs: 900,
};

/** Jobs whose tasks take long enough to run beside a late start of them. */
export const lateStartsWorkload: Workload = {
  firstZoneShare: 0.4,
  keptConnectionShare: 0.2,
  meanIntervalMs: 150,
  estimateMs: 800,
  timeoutMs: 3_000,
  labelledShare: 0.3,
};

/** Jobs whose tasks outlast a lease, with time for a second run. */
export const longTasksWorkload: Workload = {
  firstZoneShare: 0.4,
  keptConnectionShare: 0.3,
  meanIntervalMs: 250,
  estimateMs: 1_800,
  timeoutMs: 6_000,
};
