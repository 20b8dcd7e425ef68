/** Which instances are live: heartbeats, the instance list, rendezvous hashing. */
export {pickHolder, rank, type Candidate} from './hashing/index.js';
export {
  defaultPaceSettings,
  OwnerClocks,
  type PaceSettings,
} from './heartbeat/index.js';
export {
  defaultLivenessTiming,
  Liveness,
  type LivenessTiming,
} from './liveness/index.js';
export {createMembership, defaultMembershipTiming} from './membership.js';
export type {
  HeardHeartbeat,
  HeartbeatLoad,
  LinkedMember,
  Membership,
  MembershipOptions,
  MembershipTiming,
} from './options.js';
export {chooseWatchers, Successors, type Watchers} from './roles/index.js';
export {
  InstanceState,
  ListedState,
  View,
  type KnownInstance,
  type ListedInstance,
  type ViewChange,
  type ViewTiming,
} from './view/index.js';
