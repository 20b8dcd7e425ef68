/** The view of all instances. */
export {BoundedMap} from './bounded_map.js';
export {
  InstanceState,
  type KnownInstance,
  type ViewChange,
} from './instance.js';
export {ListedState, type ListedInstance} from './listing.js';
export {View, type AnswerEvidence, type ViewTiming} from './view.js';
