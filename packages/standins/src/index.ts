/** Small stand-ins for the platform and the backend servers, with switches for faults; never shipped. */
export * from './admin/index.js';
export * from './cluster/index.js';
export * from './host/index.js';
export * from './instance_list/index.js';
export * from './kv/index.js';
export {findFreePort} from './ports/index.js';
export * from './relay/index.js';
export * from './runner/index.js';
export {
  faultsSchema,
  FaultSwitch,
  Records,
  type ConnectionCounts,
  type CountsReport,
  type FaultChoice,
  type Faults,
  type Standin,
  type StartRecord,
} from './server/index.js';
export * from './worker/index.js';
