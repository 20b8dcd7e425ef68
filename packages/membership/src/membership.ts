/** Puts the view, the heartbeats, the roles and the liveness together. */
import {MemberState, type Heartbeat, type Member} from '@goldcrestpier/peers';
import {createTopic, sleep, type Millis} from '@goldcrestpier/runtime';
import {Exchange} from './exchange.js';
import {
  defaultPaceSettings,
  OwnerClocks,
  Pace,
  Peers,
} from './heartbeat/index.js';
import {defaultLivenessTiming, Liveness} from './liveness/index.js';
import {ChangeLog} from './log_changes.js';
import type {
  HeardHeartbeat,
  LinkedMember,
  Membership,
  MembershipOptions,
  MembershipTiming,
} from './options.js';
import {chooseSuccessor, chooseWatchers, Successors} from './roles/index.js';
import {Targets} from './targets.js';
import {InstanceState, View, type ListedInstance} from './view/index.js';

/** Age of a clock's last reading up to which it is not asked for, in ms. */
const FRESH_CLOCK_MS = 500;
/** How long asking for a clock may take, in ms. */
const REFRESH_MS = 1_000;
/** How long peers may take to hear that this instance leaves, in ms. */
const ANNOUNCE_MS = 1_000;
/** How often links are opened and closed without a change, in ms. */
const KEEP_PEERS_MS = 1_000;

/** The times where none are given. */
export const defaultMembershipTiming: MembershipTiming = {
  pace: defaultPaceSettings,
  liveness: defaultLivenessTiming,
  dropConfirmMs: 5_000,
  listLagMs: 60_000,
  forgetMs: 60 * 60 * 1000,
};

/** Starts membership; it runs until the life cycle closes. */
export function createMembership(options: MembershipOptions): Membership {
  const membership = new RunningMembership(options);
  membership.start();
  return membership;
}

class RunningMembership implements Membership {
  private readonly timing: MembershipTiming;
  private readonly topic = createTopic<HeardHeartbeat>();
  private readonly successors = new Successors();
  private readonly clocks = new OwnerClocks();
  private readonly liveness: Liveness;
  private readonly view: View;
  private readonly targets: Targets;
  private readonly peers: Peers;
  private readonly exchange: Exchange;
  private readonly log: ChangeLog;
  private member: Member;
  private stopNoticedAt: Millis | undefined;

  constructor(private readonly options: MembershipOptions) {
    const {self, seeds, load, clock, lifecycle, createLink, logger} = options;
    this.timing = {...defaultMembershipTiming, ...options.timing};
    this.member = {...self, state: MemberState.Live};
    this.log = new ChangeLog(logger);
    this.liveness = new Liveness(clock(), this.timing.liveness);
    this.targets = new Targets(self.peerAddress, seeds);
    const onFailure = () => logger.error('heartbeats ended by a fault');
    this.peers = new Peers({createLink, lifecycle, clock, onFailure});
    const pace = new Pace(this.timing.pace);
    this.view = new View(this.member, {
      dropConfirmMs: this.timing.dropConfirmMs,
      listLagMs: this.timing.listLagMs,
      forgetMs: this.timing.forgetMs,
      patience: ({zone}) => pace.patience(zone === self.zone),
    });
    this.exchange = new Exchange({
      self: () => this.member,
      view: this.view,
      peers: this.peers,
      targets: this.targets,
      pace,
      clocks: this.clocks,
      successors: this.successors,
      load,
      heartbeats: this.topic,
      clock,
      notice: now => this.notice(now),
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
    const onFailure = () => logger.error('membership ended by a fault');
    lifecycle.own('membership streams', () => {
      this.topic.end();
      this.view.end();
    });
    this.changes
      .observe(({changed, now}) => {
        this.log.write(changed, now);
        this.exchange.keepPeers(now);
      })
      .catch(onFailure);
    list?.observe(entries => this.readList(entries, clock())).catch(onFailure);
    this.exchange.keepPeers(clock());
    lifecycle.run('membership', signal => this.keepTime(signal), onFailure);
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
      const isThere =
        state === InstanceState.Live || state === InstanceState.Leaving;
      return isThere && link !== undefined ? [{member, link}] : [];
    });
  }

  answerHeartbeat(message: Heartbeat, now: Millis): Heartbeat {
    this.notice(now);
    return this.exchange.answer(message, now);
  }

  isGone(incarnation: string, now: Millis): boolean {
    this.notice(now);
    return this.view.isGone(incarnation, now);
  }

  ownerClock(incarnation: string, now: Millis): Millis | undefined {
    return this.clocks.find(incarnation, this.arrivalTime(now));
  }

  async learnOwnerClock(
    incarnation: string,
    arrivedAt: Millis,
  ): Promise<Millis | undefined> {
    const heardAt = this.clocks.lastHeardAt(incarnation) ?? -Infinity;
    const member = this.view.find(incarnation)?.member;
    const peer = member && this.peers.find(member.peerAddress);
    if (peer !== undefined && arrivedAt - heardAt > FRESH_CLOCK_MS) {
      await this.exchange.refresh(peer, REFRESH_MS);
    }
    return this.clocks.find(incarnation, arrivedAt);
  }

  arrivalTime(now: Millis): Millis {
    return this.liveness.arrivalTime(now);
  }

  watchers(zone: string) {
    return chooseWatchers(zone, this.view.members(zone));
  }

  isWatcher(zone: string, now: Millis): boolean {
    this.notice(now);
    this.view.judge(now);
    const {watcher} = this.watchers(zone);
    return watcher?.incarnation === this.member.incarnation;
  }

  chooseSuccessor(now: Millis): Member | undefined {
    this.notice(now);
    this.view.judge(now);
    const {zone} = this.member;
    const elsewhere = this.zones()
      .filter(each => each !== zone)
      .flatMap(each => this.view.members(each));
    return chooseSuccessor(this.member, this.view.members(zone), elsewhere);
  }

  successorOf(incarnation: string, now: Millis): string | undefined {
    return this.successors.find(incarnation, now);
  }

  async announceSuccessor(successor: string, now: Millis): Promise<void> {
    const {incarnation} = this.member;
    this.successors.note([{incarnation, successor}], now);
    await this.announce(now);
  }

  async leave(now: Millis): Promise<void> {
    if (this.member.state === MemberState.Leaving) return;
    this.member = {...this.member, state: MemberState.Leaving};
    this.view.setSelf(this.member, now);
    this.options.logger.info('this instance leaves');
    await this.announce(now);
  }

  /** Sends a heartbeat to all at once, out of their turn. */
  private async announce(now: Millis): Promise<void> {
    const sent = [...this.peers.all()].map(({address, link}) =>
      link.heartbeat(this.exchange.compose(address, now), ANNOUNCE_MS),
    );
    await Promise.all(sent);
  }

  private readList(entries: readonly ListedInstance[], now: Millis): void {
    this.notice(now);
    this.targets.noteList(entries);
    this.view.readList(entries, now);
    this.exchange.keepPeers(now);
  }

  private async keepTime(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    let peersKeptAt = clock();
    while (!signal.aborted) {
      const now = clock();
      this.liveness.tick(now);
      this.notice(now);
      this.view.judge(now);
      if (now - peersKeptAt >= KEEP_PEERS_MS) {
        peersKeptAt = now;
        this.exchange.keepPeers(now);
      }
      await sleep(this.timing.liveness.tickMs, signal);
    }
  }

  /** Lets silence start anew after a stop of this process. */
  private notice(now: Millis): void {
    const resumedAt = this.liveness.resumedAt(now);
    if (resumedAt === undefined || resumedAt === this.stopNoticedAt) return;
    this.stopNoticedAt = resumedAt;
    this.view.noteResumed(resumedAt);
    const stoppedMs = Math.round(now - this.liveness.arrivalTime(now));
    this.options.logger.warn('this process was stopped', {stoppedMs});
  }
}
