/**
 * Fake platform services and backend servers with fault injection, for tests
 * and the demo. Not part of a release.
 */
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
  FaultState,
  Records,
  type ConnectionCounts,
  type CountsReport,
  type FaultsInput,
  type Faults,
  type Standin,
  type StartRecord,
} from './server/index.js';
export * from './worker/index.js';
