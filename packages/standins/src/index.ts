/** Small stand-ins for the platform and the backend servers, with switches for faults; never shipped. */
export * from './instance_list/index.js';
export * from './runner/index.js';
export {
  faultsSchema,
  FaultSwitch,
  Records,
  type ConnectionCounts,
  type CountsReport,
  type FaultChoice,
  type Faults,
  type StartRecord,
} from './server/index.js';
