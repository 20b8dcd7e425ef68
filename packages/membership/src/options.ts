/** Options and public interface of membership. */
import type {Heartbeat, Member, PeerLink} from '@goldcrestpier/peers';
import type {Lifecycle, Logger, Millis} from '@goldcrestpier/runtime';
import type {Stream} from 'most';
import type {HeartbeatSettings} from './heartbeat/index.js';
import type {PauseDetectorTiming} from './pause_detector/index.js';
import type {SettingsWatchers} from './roles/index.js';
import type {KnownInstance, ListedInstance, ViewChange} from './view/index.js';

/** Provides the data that this instance's heartbeats carry. */
export interface HeartbeatPayload {
  settingsRevision(): number;
  /** Free capacity of the backend servers that this instance holds. */
  spare(now: Millis): Heartbeat['spare'];
  /** Grants in use here for servers that `holder` is assumed to hold. */
  grantsInUse(holder: string, now: Millis): Heartbeat['grantsInUse'];
}

/** Timing of membership. */
export interface MembershipTiming {
  readonly heartbeat: HeartbeatSettings;
  readonly pauseDetection: PauseDetectorTiming;
  /** How long the list must lack an instance until it is gone, in ms. */
  readonly delistConfirmMs: Millis;
  /** Maximum delay until the list contains a started instance, in ms. */
  readonly listLagMs: Millis;
  /** How long to keep the record of a silent, unlisted instance, in ms. */
  readonly retentionMs: Millis;
}

/** Options of membership. */
export interface MembershipOptions {
  /** This instance; membership itself manages the state. */
  readonly self: Omit<Member, 'state'>;
  /** `host:port` of peer listeners from the settings file. */
  readonly seeds: readonly string[];
  /** Every complete response of the instance list, including unchanged ones. */
  readonly list?: Stream<readonly ListedInstance[]>;
  readonly createLink: (address: string) => PeerLink;
  readonly payload: HeartbeatPayload;
  readonly lifecycle: Lifecycle;
  readonly logger: Logger;
  /** The monotonic clock. */
  readonly clock: () => Millis;
  readonly timing?: Partial<MembershipTiming>;
}

/** A heartbeat from another instance, or its answer to one of ours. */
export interface ReceivedHeartbeat {
  readonly message: Heartbeat;
  readonly now: Millis;
}

/** A live or leaving instance and the link to it. */
export interface LinkedMember {
  readonly member: Member;
  readonly link: PeerLink;
}

/** The known instances, their states, roles and links. */
export interface Membership {
  /** This instance as described to its peers. */
  self(): Member;
  readonly changes: Stream<ViewChange>;
  readonly heartbeats: Stream<ReceivedHeartbeat>;
  /** The live members of a zone; the same array until one of them changes. */
  members(zone: string): readonly Member[];
  /** The zones with live members. */
  zones(): string[];
  /** All other known instances. */
  instances(): KnownInstance[];
  /** The link to a known instance; it may not be connected. */
  findLink(incarnation: string): PeerLink | undefined;
  /** All other live or leaving instances that have a link, for broadcasts. */
  linkedMembers(): LinkedMember[];
  /** Answers a peer's heartbeat; for use as `PeerHandlers.heartbeat`. */
  answerHeartbeat(message: Heartbeat, now: Millis): Heartbeat;
  /** Whether an incarnation has ended for certain, so its loss is final. */
  isGone(incarnation: string, now: Millis): boolean;
  /**
   * A time that the clock of an incarnation had reached when data read at `now`
   * arrived, as a lower bound; undefined without a reading of that clock.
   */
  ownerClock(incarnation: string, now: Millis): Millis | undefined;
  /**
   * Like `ownerClock`, for data that arrived at `arrivedAt`, which is a result
   * of `arrivalTime`. Refreshes a reading that is older than half a second, so
   * that a relayed submission does not look older than necessary.
   */
  refreshOwnerClock(
    incarnation: string,
    arrivedAt: Millis,
  ): Promise<Millis | undefined>;
  /** A lower bound for the arrival time of data that is read at `now`. */
  arrivalTime(now: Millis): Millis;
  /** The settings watcher of a zone and its standby. */
  settingsWatchers(zone: string): SettingsWatchers;
  /** Whether this instance is the zone's settings watcher. */
  isSettingsWatcher(zone: string, now: Millis): boolean;
  /** Chooses the peer that should take over this instance's sessions. */
  chooseSuccessor(now: Millis): Member | undefined;
  /** The instance now responsible for the sessions of one that left. */
  successorOf(incarnation: string, now: Millis): string | undefined;
  /** Announces this instance's successor to all peers. */
  announceSuccessor(successor: string, now: Millis): Promise<void>;
  /** Marks this instance as leaving; resolves once peers know or time out. */
  leave(now: Millis): Promise<void>;
}
