/** Combines the view, heartbeats, roles and pause detection. */
import {MemberState, type Heartbeat, type Member} from '@goldcrestpier/peers';
import {createTopic, sleep, type Millis} from '@goldcrestpier/runtime';
import {HeartbeatExchange} from './exchange.js';
import {
  defaultHeartbeatSettings,
  RemoteClocks,
  HeartbeatSchedule,
  Peers,
} from './heartbeat/index.js';
import {
  defaultPauseDetectorTiming,
  PauseDetector,
} from './pause_detector/index.js';
import {StateChangeLogger} from './state_change_logger.js';
import type {
  ReceivedHeartbeat,
  LinkedMember,
  Membership,
  MembershipOptions,
  MembershipTiming,
} from './options.js';
import {
  chooseSuccessor,
  chooseSettingsWatchers,
  Successors,
} from './roles/index.js';
import {PeerAddresses} from './peer_addresses.js';
import {InstanceState, View, type ListedInstance} from './view/index.js';

/** Maximum age of a clock reading that is used without a refresh, in ms. */
const MAX_CLOCK_READING_AGE_MS = 500;
/** Timeout for refreshing a clock reading, in ms. */
const CLOCK_REFRESH_TIMEOUT_MS = 1_000;
/** Timeout for announcing to peers that this instance is leaving, in ms. */
const ANNOUNCE_TIMEOUT_MS = 1_000;
/** How often links are reconciled when no instance changes, in ms. */
const RECONCILE_INTERVAL_MS = 1_000;

/** The default timing of membership. */
export const defaultMembershipTiming: MembershipTiming = {
  heartbeat: defaultHeartbeatSettings,
  pauseDetection: defaultPauseDetectorTiming,
  delistConfirmMs: 5_000,
  listLagMs: 60_000,
  retentionMs: 60 * 60 * 1000,
};

/** Starts membership, which runs until the lifecycle closes. */
export function createMembership(options: MembershipOptions): Membership {
  const membership = new RunningMembership(options);
  membership.start();
  return membership;
}

class RunningMembership implements Membership {
  private readonly timing: MembershipTiming;
  private readonly topic = createTopic<ReceivedHeartbeat>();
  private readonly successors = new Successors();
  private readonly clocks = new RemoteClocks();
  private readonly pauseDetector: PauseDetector;
  private readonly view: View;
  private readonly peerAddresses: PeerAddresses;
  private readonly peers: Peers;
  private readonly exchange: HeartbeatExchange;
  private readonly log: StateChangeLogger;
  private member: Member;
  private pauseDetectedAt: Millis | undefined;

  constructor(private readonly options: MembershipOptions) {
    const {self, seeds, payload, clock, lifecycle, createLink, logger} =
      options;
    this.timing = {...defaultMembershipTiming, ...options.timing};
    this.member = {...self, state: MemberState.Live};
    this.log = new StateChangeLogger(logger);
    this.pauseDetector = new PauseDetector(clock(), this.timing.pauseDetection);
    this.peerAddresses = new PeerAddresses(self.peerAddress, seeds);
    const onFailure = () =>
      logger.error('heartbeat loop stopped after an error');
    this.peers = new Peers({createLink, lifecycle, clock, onFailure});
    const schedule = new HeartbeatSchedule(this.timing.heartbeat);
    this.view = new View(this.member, {
      delistConfirmMs: this.timing.delistConfirmMs,
      listLagMs: this.timing.listLagMs,
      retentionMs: this.timing.retentionMs,
      heartbeatTimeout: ({zone}) => schedule.timeout(zone === self.zone),
    });
    this.exchange = new HeartbeatExchange({
      self: () => this.member,
      view: this.view,
      peers: this.peers,
      peerAddresses: this.peerAddresses,
      schedule,
      clocks: this.clocks,
      successors: this.successors,
      payload,
      heartbeats: this.topic,
      clock,
      checkForPause: now => this.checkForPause(now),
    });
  }

  get changes() {
    return this.view.changes;
  }

  get heartbeats() {
    return this.topic.stream;
  }

  start(): void {
    const {lifecycle, clock, list, logger} = this.options;
    const onFailure = () =>
      logger.error('membership processing stopped after an error');
    lifecycle.own('membership streams', () => {
      this.topic.end();
      this.view.end();
    });
    this.changes
      .observe(({changed, now}) => {
        this.log.logChanges(changed, now);
        this.exchange.reconcilePeers(now);
      })
      .catch(onFailure);
    list
      ?.observe(entries => this.applyInstanceList(entries, clock()))
      .catch(onFailure);
    this.exchange.reconcilePeers(clock());
    lifecycle.run('membership', signal => this.runTicks(signal), onFailure);
  }

  self(): Member {
    return this.member;
  }

  members(zone: string): readonly Member[] {
    return this.view.members(zone);
  }

  zones(): string[] {
    const zones = this.view
      .instances()
      .filter(({state}) => state === InstanceState.Live)
      .map(({member}) => member.zone);
    return [...new Set([this.member.zone, ...zones])].sort();
  }

  instances() {
    return this.view.instances();
  }

  findLink(incarnation: string) {
    const known = this.view.find(incarnation);
    if (known === undefined) return undefined;
    return this.peers.find(known.member.peerAddress)?.link;
  }

  linkedMembers(): LinkedMember[] {
    return this.view.instances().flatMap(({member, state}) => {
      const link = this.findLink(member.incarnation);
      const isResponding =
        state === InstanceState.Live || state === InstanceState.Leaving;
      return isResponding && link !== undefined ? [{member, link}] : [];
    });
  }

  answerHeartbeat(message: Heartbeat, now: Millis): Heartbeat {
    this.checkForPause(now);
    return this.exchange.answer(message, now);
  }

  isGone(incarnation: string, now: Millis): boolean {
    this.checkForPause(now);
    return this.view.isGone(incarnation, now);
  }

  ownerClock(incarnation: string, now: Millis): Millis | undefined {
    return this.clocks.findLowerBound(incarnation, this.arrivalTime(now));
  }

  async refreshOwnerClock(
    incarnation: string,
    arrivedAt: Millis,
  ): Promise<Millis | undefined> {
    const lastReadingAt = this.clocks.lastReadingAt(incarnation) ?? -Infinity;
    const member = this.view.find(incarnation)?.member;
    const peer = member && this.peers.find(member.peerAddress);
    if (
      peer !== undefined &&
      arrivedAt - lastReadingAt > MAX_CLOCK_READING_AGE_MS
    ) {
      await this.exchange.refreshClock(peer, CLOCK_REFRESH_TIMEOUT_MS);
    }
    return this.clocks.findLowerBound(incarnation, arrivedAt);
  }

  arrivalTime(now: Millis): Millis {
    return this.pauseDetector.arrivalTime(now);
  }

  settingsWatchers(zone: string) {
    return chooseSettingsWatchers(zone, this.view.members(zone));
  }

  isSettingsWatcher(zone: string, now: Millis): boolean {
    this.checkForPause(now);
    this.view.updateStates(now);
    const {watcher} = this.settingsWatchers(zone);
    return watcher?.incarnation === this.member.incarnation;
  }

  chooseSuccessor(now: Millis): Member | undefined {
    this.checkForPause(now);
    this.view.updateStates(now);
    const {zone} = this.member;
    const otherZoneMembers = this.zones()
      .filter(each => each !== zone)
      .flatMap(each => this.view.members(each));
    return chooseSuccessor(
      this.member,
      this.view.members(zone),
      otherZoneMembers,
    );
  }

  successorOf(incarnation: string, now: Millis): string | undefined {
    return this.successors.find(incarnation, now);
  }

  async announceSuccessor(successor: string, now: Millis): Promise<void> {
    const {incarnation} = this.member;
    this.successors.record([{incarnation, successor}], now);
    await this.announce(now);
  }

  async leave(now: Millis): Promise<void> {
    if (this.member.state === MemberState.Leaving) return;
    this.member = {...this.member, state: MemberState.Leaving};
    this.view.setSelf(this.member, now);
    this.options.logger.info('this instance is leaving');
    await this.announce(now);
  }

  /** Sends an unscheduled heartbeat to all peers at once. */
  private async announce(now: Millis): Promise<void> {
    const sent = [...this.peers.all()].map(({address, link}) =>
      link.heartbeat(
        this.exchange.composeHeartbeat(address, now),
        ANNOUNCE_TIMEOUT_MS,
      ),
    );
    await Promise.all(sent);
  }

  private applyInstanceList(
    entries: readonly ListedInstance[],
    now: Millis,
  ): void {
    this.checkForPause(now);
    this.peerAddresses.setListed(entries);
    this.view.applyInstanceList(entries, now);
    this.exchange.reconcilePeers(now);
  }

  private async runTicks(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    let reconciledAt = clock();
    while (!signal.aborted) {
      const now = clock();
      this.pauseDetector.tick(now);
      this.checkForPause(now);
      this.view.updateStates(now);
      if (now - reconciledAt >= RECONCILE_INTERVAL_MS) {
        reconciledAt = now;
        this.exchange.reconcilePeers(now);
      }
      await sleep(this.timing.pauseDetection.tickMs, signal);
    }
  }

  /** Restarts heartbeat timeouts after a pause of this process. */
  private checkForPause(now: Millis): void {
    const resumedAt = this.pauseDetector.resumedAt(now);
    if (resumedAt === undefined || resumedAt === this.pauseDetectedAt) return;
    this.pauseDetectedAt = resumedAt;
    this.view.recordResume(resumedAt);
    const stoppedMs = Math.round(now - this.pauseDetector.arrivalTime(now));
    this.options.logger.warn('this process was paused', {stoppedMs});
  }
}
