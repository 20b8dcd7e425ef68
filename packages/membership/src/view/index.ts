/** This instance's view of the state of every other instance. */
export {BoundedMap} from './bounded_map.js';
export {
  InstanceState,
  type KnownInstance,
  type ViewChange,
} from './instance.js';
export {ListedState, type ListedInstance} from './listing.js';
export type {HeartbeatAck} from './replacement.js';
export {View, type ViewTiming} from './view.js';
