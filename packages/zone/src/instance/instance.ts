/**
 * One instance of a zone: it answers for the jobs that callers hand to it, and
 * holds the zone's workers when it is its turn.
 */
import {AbandonReason, type Job} from '@goldcrestpier/dispatch';
import {LogPart, readClock, type Millis} from '@goldcrestpier/runtime';
import {Owner, type OwnerAnswer} from '../owner/index.js';
import type {Configuration} from '../ports/index.js';
import {
  type Claim,
  type JobAnswer,
  type JobCancellation,
  type JobSubmission,
  type Lending,
  type LentAnswer,
  type LentList,
  type LentQuestion,
  type Recall,
  type ZoneCalls,
  type ZoneHandlers,
  type ZoneHeartbeat,
} from '../protocol/index.js';
import {Activity} from './activity.js';
import {ConfigurationFetch} from './configuration_fetch.js';
import {HolderChange} from './holder_change.js';
import type {InstanceOptions} from './instance_options.js';
import {findTarget} from './holder_targets.js';
import {LentCalls} from './lent_calls.js';
import {Links} from './links.js';
import {LoopDelay} from './loop_delay.js';
import {toRoom, type Holder} from '../holder/index.js';
import {NeighbourZones} from './neighbour_zones.js';
import {createOwnHeartbeat} from './own_heartbeat.js';
import {RoleKeeper} from './role_keeper.js';
import {Stepper} from './stepper.js';
import {ToldNews} from './told_news.js';
import {ZoneView} from './zone_view.js';

/** A running instance. */
export class Instance implements ZoneHandlers {
  private readonly address: string;
  private readonly view: ZoneView;
  private readonly zones: NeighbourZones;
  private readonly roles: RoleKeeper;
  private readonly links: Links;
  private readonly lent: LentCalls;
  private readonly owner: Owner;
  private readonly change = new HolderChange();
  private readonly fetch: ConfigurationFetch;
  private readonly stepper: Stepper;
  private readonly activity = new Activity();
  private readonly toldNews = new ToldNews();
  private isLeaving = false;

  constructor(private readonly options: InstanceOptions) {
    const {id, zone, processors, listen, logs, metrics, seeds} = options;
    this.address = `${listen.host}:${listen.port}`;
    this.view = new ZoneView(zone, this.address, {id, processors});
    this.zones = new NeighbourZones(zone);
    for (const seed of seeds) this.view.addAddress(seed);
    this.roles = new RoleKeeper({
      ...options,
      findZone: other => this.findZone(other),
      // The next step decides anew, when this one has ended.
      onFenced: () => this.stepper.wake(),
    });
    this.lent = new LentCalls(this.zones, () => this.roles.holder);
    this.links = new Links({
      ...options,
      createHeartbeat: (now, isForeign) => this.createHeartbeat(now, isForeign),
      onAnswer: (message, sentAt) => this.takeAnswer(message, sentAt),
      onRefused: address => this.view.noteRefused(address),
    });
    this.fetch = new ConfigurationFetch({
      ...options,
      findCalls: address => this.links.find(address),
    });
    this.owner = new Owner({
      selfId: id,
      findHolder: () =>
        findTarget(this.roles, id, other => this.findCalls(other)),
      waitForChange: (from, signal) => this.change.wait(from, signal),
      isAlive: (other, now) => other === id || this.view.isAlive(other, now),
      onHolderMissed: now => this.noteHolderMissed(now),
      logger: logs.forPart(LogPart.Jobs),
      metrics,
    });
    const log = logs.forPart(LogPart.Membership);
    this.stepper = new Stepper({
      step: now => this.step(now),
      delay: new LoopDelay(log, metrics),
      lifecycle: options.lifecycle,
    });
  }

  /** Begins to consider its role. */
  start(): void {
    this.stepper.start();
  }

  /** Answers a caller's job. Aborting `signal` gives it up. */
  run(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    const answer = this.owner.run(job, signal);
    // The holder is watched closely from now on.
    if (!this.activity.isBusy(readClock())) this.stepper.wake();
    return answer;
  }

  /** Whether a caller waits here for the job. */
  isWaitedFor(jobId: string): boolean {
    return this.owner.isWaitedFor(jobId);
  }

  /** Gives a job up for all its callers; false when it has none here. */
  giveUpAll(jobId: string): boolean {
    return this.owner.giveUpAll(jobId);
  }

  /** Whether this instance should be given new connections. */
  isReady(now: Millis): boolean {
    if (this.isLeaving) return false;
    if (this.options.directory.configuration() === undefined) return false;
    return this.activity.hasHolder(now);
  }

  /** Begins a planned stop: another instance takes over. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Jobs of a queue that have not started, as far as is known here. */
  countWaiting(queue: string): number {
    return this.roles.holder?.countWaiting(queue) ?? 0;
  }

  /** Notes a sign of life of the instance with this id. */
  notePing(id: string): void {
    this.view.noteContact(id, readClock());
  }

  /** Takes a neighbour's heartbeat. */
  heartbeat(message: ZoneHeartbeat): Promise<ZoneHeartbeat> {
    const now = readClock();
    this.hear(message, now);
    const isForeign = message.zone !== this.options.zone;
    return Promise.resolve(this.createHeartbeat(now, isForeign));
  }

  /** Takes a job for the workers that this instance holds. */
  submit(message: JobSubmission): Promise<JobAnswer> {
    this.view.noteContact(message.ownerId, readClock());
    const {holder} = this.roles;
    if (holder !== undefined) return holder.submit(message);
    return Promise.resolve({kind: 'not_holder', mayHaveStarted: false});
  }

  /** Gives up a job that a peer handed in. */
  cancel({ownerId, jobId}: JobCancellation): Promise<boolean> {
    const {holder} = this.roles;
    holder?.cancel(ownerId, jobId, AbandonReason.Cancelled);
    return Promise.resolve(holder !== undefined);
  }

  /** The configuration known here. */
  readConfiguration(): Promise<Configuration | null> {
    return Promise.resolve(this.options.directory.configuration() ?? null);
  }

  /** Runs a task that the holder of another zone lends. */
  lend(message: Lending): Promise<LentAnswer> {
    return this.lent.lend(message);
  }

  /** Stops a task that another zone takes back. */
  recall(message: Recall): Promise<boolean> {
    return this.lent.recall(message);
  }

  /** What runs here for another zone, as far as this instance knows. */
  listLent(question: LentQuestion): Promise<LentList> {
    return this.lent.listLent(question);
  }

  /** Does what is due; returns how long it may be until the next step. */
  private step(now: Millis): Millis {
    const {directory} = this.options;
    const registrations = directory.registrations();
    this.activity.noteStep(now);
    for (const {address, at} of this.links.answered()) {
      this.view.noteAnswer(address, at);
    }
    this.view.setRegistrations(registrations, now);
    this.zones.setRegistrations(registrations, now);
    if (this.owner.hasJobs) this.activity.noteJobs(now);
    const isCandidate = this.chooseLinks(now);
    directory.setCandidate(isCandidate);
    const informedSince = directory.registrationsSince();
    const self = {isLeaving: this.isLeaving, informedSince};
    this.roles.update(this.view.members(now), self, now);
    const version = directory.configuration()?.version;
    const news = {claim: this.roles.claim, isLeaving: this.isLeaving, version};
    this.links.beat(now, {isUrgent: this.toldNews.isNew(news)});
    const {holderId, holder} = this.roles;
    if (holderId !== undefined) {
      this.activity.noteHolder(now);
      this.change.tell(holderId);
    }
    if (holder !== undefined) this.dropUnwanted(holder, now);
    const isShort = isCandidate || this.isUnsettled(now);
    return this.activity.chooseStep(isShort || holder !== undefined, now);
  }

  /** Keeps the links that are wanted now; whether this one may hold next. */
  private chooseLinks(now: Millis): boolean {
    const isHolder = this.roles.holder !== undefined;
    const situation = {
      holderId: this.roles.claim?.holderId,
      isUnsettled: this.isUnsettled(now),
      hasJobs: this.activity.isBusy(now),
      isHolder,
    };
    const {links, isCandidate} = this.view.chooseLinks(situation, now);
    this.links.setNeighbours(links, isHolder ? this.zones.addresses : []);
    return isCandidate;
  }

  /** Whether others have to be asked who holds the workers. */
  private isUnsettled(now: Millis): boolean {
    if (this.isLeaving || this.roles.isWaiting) return true;
    if (this.activity.hasMissedHolder(now)) return true;
    const {holderId} = this.roles;
    return holderId !== undefined && this.view.isDoubtful(holderId, now);
  }

  private noteHolderMissed(now: Millis): void {
    const isKnown = this.isUnsettled(now);
    this.activity.noteHolderMissed(now);
    if (!isKnown) this.stepper.wake();
  }

  /** Gives up what nobody waits for any more. */
  private dropUnwanted(holder: Holder, now: Millis): void {
    const {id} = this.options;
    holder.dropOwners(
      ownerId => ownerId === id || this.view.isAlive(ownerId, now),
    );
    holder.dropZones((other, token) => this.zones.wantsLent(other, token, now));
  }

  private findZone(zone: string): ZoneCalls | undefined {
    const address = this.zones.addressOf(zone);
    return address === undefined ? undefined : this.links.find(address);
  }

  private takeAnswer(message: ZoneHeartbeat, sentAt: Millis): void {
    this.hear(message, readClock());
    const {configurationVersion, configurationAgeMs} = message;
    if (configurationAgeMs === undefined) return;
    // What was asked for at `sentAt` can not have been older then.
    const asOf = sentAt - configurationAgeMs;
    this.options.directory.confirmConfiguration(configurationVersion, asOf);
  }

  private hear(message: ZoneHeartbeat, now: Millis): void {
    this.view.hear(message, now);
    if (message.zone !== this.options.zone) this.hearZone(message, now);
    else if (message.claim !== undefined) this.noteClaim(message.claim, now);
    const own = this.options.directory.configuration()?.version ?? 0;
    if (message.configurationVersion > own) {
      void this.fetch.askFor(message.address);
    }
  }

  private hearZone(message: ZoneHeartbeat, now: Millis): void {
    this.zones.hear(message, now);
    const {zone, rooms = []} = message;
    for (const room of rooms) this.roles.holder?.tellRoom(toRoom(zone, room));
  }

  private noteClaim(claim: Claim, now: Millis): void {
    // Acting at once shortens the time in which two instances hold.
    if (this.roles.noteClaim(claim)) this.step(now);
  }

  private createHeartbeat(now: Millis, withRooms: boolean): ZoneHeartbeat {
    const {id, zone, processors, directory} = this.options;
    const {claim, holder} = this.roles;
    const {address, isLeaving} = this;
    const holderHeardMs = claim && this.view.heardMs(claim.holderId, now);
    const rooms = withRooms ? holder?.findRooms() : undefined;
    const self = {id, zone, address, processors, isLeaving, directory};
    return createOwnHeartbeat({...self, claim, holderHeardMs, rooms}, now);
  }

  private findCalls(id: string): ZoneCalls | undefined {
    const address = this.view.addressOf(id);
    return address === undefined ? undefined : this.links.find(address);
  }
}
