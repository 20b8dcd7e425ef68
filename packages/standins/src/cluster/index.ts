/** Runs clusters of real processes for tests, the demo and tools. */
export {
  Cluster,
  countDuplicateStarts,
  type ClusterPlatform,
  type ClusterServer,
} from './cluster.js';
export {EntryProcess, type EntryAddresses} from './entry_process.js';
export {launchCluster} from './launch.js';
export {
  launchProcess,
  LaunchedProcess,
  type ProcessExit,
  type ProcessOptions,
} from './launched_process.js';
export {CLIENTS, Network, PLATFORM, type NetworkDelays} from './network.js';
export {
  planZones,
  type ClusterPlan,
  type EntryPlan,
  type RunnerPlan,
  type SettingsTable,
  type WorkerPlan,
  type ZonePlan,
  type PlanZonesOptions,
} from './plan.js';
export {launchStandins, type StandinProcess} from './standin_processes.js';
export {describeEntry} from './targets.js';
