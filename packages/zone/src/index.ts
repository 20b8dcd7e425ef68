/** Instances of a zone: leader election, job ownership and task delegation. */
export {Instance} from './instance/instance.js';
export type {InstanceOptions} from './instance/instance_options.js';
export {
  startInstance,
  type InstanceFailure,
} from './instance/start_instance.js';
export {ZoneMetrics} from './metrics/index.js';
export * from './owner/index.js';
export * from './ports/index.js';
export {generateNonce} from './election/index.js';
export {JobPresence} from './protocol/index.js';
