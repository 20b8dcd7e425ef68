/** What membership is given, and what it offers. */
import type {Heartbeat, Member, PeerLink} from '@goldcrestpier/peers';
import type {Lifecycle, Logger, Millis} from '@goldcrestpier/runtime';
import type {Stream} from 'most';
import type {PaceSettings} from './heartbeat/index.js';
import type {LivenessTiming} from './liveness/index.js';
import type {Watchers} from './roles/index.js';
import type {KnownInstance, ListedInstance, ViewChange} from './view/index.js';

/** What rides on this instance's heartbeats. */
export interface HeartbeatLoad {
  settingsRevision(): number;
  /** Free capacity of the servers that this instance holds. */
  spare(now: Millis): Heartbeat['spare'];
  /** Grants this instance uses of servers that `holder` is believed to hold. */
  grantsInUse(holder: string, now: Millis): Heartbeat['grantsInUse'];
}

/** Times of membership. */
export interface MembershipTiming {
  readonly pace: PaceSettings;
  readonly liveness: LivenessTiming;
  /** How long the list must go on without an instance, in ms. */
  readonly dropConfirmMs: Millis;
  /** Within this time of its start the list shows every instance, in ms. */
  readonly listLagMs: Millis;
  /** How long a silent and unlisted instance is remembered, in ms. */
  readonly forgetMs: Millis;
}

/** What membership needs. */
export interface MembershipOptions {
  /** This instance; its state is membership's matter. */
  readonly self: Omit<Member, 'state'>;
  /** `host:port` of peers' listeners from the settings file. */
  readonly seeds: readonly string[];
  /** Each whole answer of the instance list, also one without a change. */
  readonly list?: Stream<readonly ListedInstance[]>;
  readonly createLink: (address: string) => PeerLink;
  readonly load: HeartbeatLoad;
  readonly lifecycle: Lifecycle;
  readonly logger: Logger;
  /** The monotonic clock. */
  readonly clock: () => Millis;
  readonly timing?: Partial<MembershipTiming>;
}

/** A heartbeat of another instance, or its answer to one of ours. */
export interface HeardHeartbeat {
  readonly message: Heartbeat;
  readonly now: Millis;
}

/** A live or leaving instance with the link to it. */
export interface LinkedMember {
  readonly member: Member;
  readonly link: PeerLink;
}

/** Which instances there are, and what each may be asked. */
export interface Membership {
  /** This instance as its peers are told of it. */
  self(): Member;
  readonly changes: Stream<ViewChange>;
  readonly heartbeats: Stream<HeardHeartbeat>;
  /** The live members of a zone; the same list until one of them changes. */
  members(zone: string): readonly Member[];
  /** The zones with live members. */
  zones(): string[];
  /** Every other instance that is known. */
  instances(): KnownInstance[];
  /** The link to an instance that is known, connected or not. */
  findLink(incarnation: string): PeerLink | undefined;
  /** Every other instance that answers, for questions to all of them. */
  linkedMembers(): LinkedMember[];
  /** For `PeerHandlers.heartbeat`. */
  answerHeartbeat(message: Heartbeat, now: Millis): Heartbeat;
  /** Whether an incarnation ended for certain; what makes a loss final. */
  isGone(incarnation: string, now: Millis): boolean;
  /**
   * A time that the clock of an incarnation had reached before what is read
   * at `now` can have arrived; undefined when it was never heard.
   */
  ownerClock(incarnation: string, now: Millis): Millis | undefined;
  /**
   * The same for what arrived at `arrivedAt` (from `arrivalTime`), after
   * hearing the clock anew when its last reading is older than half a second,
   * so that a relayed submission does not look older than it need.
   */
  learnOwnerClock(
    incarnation: string,
    arrivedAt: Millis,
  ): Promise<Millis | undefined>;
  /** The latest time before which data read at `now` was surely unread. */
  arrivalTime(now: Millis): Millis;
  /** Who watches the settings for a zone, and who stands by. */
  watchers(zone: string): Watchers;
  /** Whether this instance is the zone's watcher. */
  isWatcher(zone: string, now: Millis): boolean;
  /** The peer that should answer for this instance's sessions. */
  chooseSuccessor(now: Millis): Member | undefined;
  /** Who answers for the sessions of an incarnation that left. */
  successorOf(incarnation: string, now: Millis): string | undefined;
  /** Makes a successor of this instance known to all peers. */
  announceSuccessor(successor: string, now: Millis): Promise<void>;
  /** Tells all peers that this instance leaves; resolves when they know. */
  leave(now: Millis): Promise<void>;
}
