/** Cluster membership: heartbeats, instance list and rendezvous hashing. */
export {pickMember, rankMembers, type Candidate} from './hashing/index.js';
export {
  defaultHeartbeatSettings,
  RemoteClocks,
  type HeartbeatSettings,
} from './heartbeat/index.js';
export {
  defaultPauseDetectorTiming,
  PauseDetector,
  type PauseDetectorTiming,
} from './pause_detector/index.js';
export {createMembership, defaultMembershipTiming} from './membership.js';
export type {
  ReceivedHeartbeat,
  HeartbeatPayload,
  LinkedMember,
  Membership,
  MembershipOptions,
  MembershipTiming,
} from './options.js';
export {
  chooseSettingsWatchers,
  Successors,
  type SettingsWatchers,
} from './roles/index.js';
export {
  InstanceState,
  ListedState,
  View,
  type KnownInstance,
  type ListedInstance,
  type ViewChange,
  type ViewTiming,
} from './view/index.js';
