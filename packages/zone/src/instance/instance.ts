/**
 * One instance of a zone: it answers for the jobs that callers hand to it, and
 * holds the zone's workers when it is its turn.
 */
import {AbandonReason, type Job} from '@goldcrestpier/dispatch';
import {LogPart, readClock, type Millis} from '@goldcrestpier/runtime';
import {Owner, type HolderTarget, type OwnerAnswer} from '../owner/index.js';
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
import {HolderChange} from './holder_change.js';
import type {InstanceOptions} from './instance_options.js';
import {createLocalTarget, createPeerTarget} from './holder_targets.js';
import {Links} from './links.js';
import {LoopDelay} from './loop_delay.js';
import {outdatedRefusal, toRoom} from '../holder/index.js';
import {NeighbourZones} from './neighbour_zones.js';
import {createOwnHeartbeat} from './own_heartbeat.js';
import {RoleKeeper} from './role_keeper.js';
import {ZoneView} from './zone_view.js';

/** How often an instance considers its role, in ms. */
const STEP_MS = 50;
/** How long an instance may be without a holder and still call itself ready. */
const READY_WITHOUT_HOLDER_MS = 2_000;
/** How long a question to a peer waits for its answer, in ms. */
const ASK_TIMEOUT_MS = 1_000;

/** A running instance. */
export class Instance implements ZoneHandlers {
  private readonly address: string;
  private readonly view: ZoneView;
  private readonly zones: NeighbourZones;
  private readonly roles: RoleKeeper;
  private readonly links: Links;
  private readonly owner: Owner;
  private readonly change = new HolderChange();
  private hadHolderAt: Millis = -Infinity;
  private isLeaving = false;
  private isReadingConfiguration = false;

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
      onFenced: () => setImmediate(() => this.step(readClock())),
    });
    this.links = new Links({
      ...options,
      createHeartbeat: (now, isForeign) => this.createHeartbeat(now, isForeign),
      onAnswer: (message, sentAt) => this.takeAnswer(message, sentAt),
      onRefused: address => this.view.noteRefused(address),
    });
    this.owner = new Owner({
      selfId: id,
      findHolder: () => this.findHolder(),
      waitForChange: (from, signal) => this.change.wait(from, signal),
      isAlive: (other, now) => other === id || this.view.isAlive(other, now),
      logger: logs.forPart(LogPart.Jobs),
      metrics,
    });
  }

  /** Begins to consider its role. */
  start(): void {
    const {logs, metrics} = this.options;
    const log = logs.forPart(LogPart.Membership);
    const delay = new LoopDelay(STEP_MS, log, metrics);
    const timer = setInterval(() => {
      delay.note(readClock());
      // Heartbeats that have arrived are read before anyone counts as silent.
      setImmediate(() => this.step(readClock()));
    }, STEP_MS);
    this.options.lifecycle.own('role', () => clearInterval(timer));
  }

  /** Answers a caller's job. Aborting `signal` gives it up. */
  run(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    return this.owner.run(job, signal);
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
    return now - this.hadHolderAt < READY_WITHOUT_HOLDER_MS;
  }

  /** Begins a planned stop: another instance takes over. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Jobs of a queue that have not started, as far as is known here. */
  countWaiting(queue: string): number {
    return this.roles.holder?.countWaiting(queue) ?? 0;
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
  async lend(message: Lending): Promise<LentAnswer> {
    const {holder} = this.roles;
    if (holder === undefined) {
      return {answer: {kind: 'not_holder', mayHaveStarted: false}};
    }
    const {homeZone, token} = message;
    // Its follower was told what is lent, and knows nothing of this one.
    if (!this.zones.noteToken(homeZone, token)) {
      return {answer: outdatedRefusal};
    }
    const answer = await holder.takeLent(message);
    return {answer, rooms: holder.findRooms()};
  }

  /** Stops a task that another zone takes back. */
  recall({homeZone, token, task}: Recall): Promise<boolean> {
    const {holder} = this.roles;
    const isInForce = this.zones.noteToken(homeZone, token);
    if (isInForce) holder?.recall(homeZone, task);
    return Promise.resolve(holder !== undefined);
  }

  /** What runs here for another zone, as far as this instance knows. */
  listLent({homeZone, token}: LentQuestion): Promise<LentList> {
    this.zones.noteToken(homeZone, token);
    const unknown = {isComplete: false, tasks: []};
    return Promise.resolve(this.roles.holder?.listLent(homeZone) ?? unknown);
  }

  private step(now: Millis): void {
    const {directory} = this.options;
    const registrations = directory.registrations();
    this.view.setRegistrations(registrations, now);
    this.zones.setRegistrations(registrations, now);
    const foreign = this.roles.holder === undefined ? [] : this.zones.addresses;
    const holderInForce = this.roles.claim?.holderId;
    const {addresses, isCandidate} = this.view.chooseLinks(holderInForce, now);
    directory.setCandidate(isCandidate);
    this.links.setAddresses(addresses, foreign);
    const informedSince = directory.registrationsSince();
    const self = {isLeaving: this.isLeaving, informedSince};
    this.roles.update(this.view.members(now), self, now);
    this.links.beat(now, {isUrgent: this.roles.isClaiming});
    const {holderId} = this.roles;
    if (holderId !== undefined) this.hadHolderAt = now;
    if (holderId !== undefined) this.change.tell(holderId);
    const {holder} = this.roles;
    if (holder === undefined) return;
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
      void this.fetchConfiguration(message.address);
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

  private async fetchConfiguration(address: string): Promise<void> {
    const calls = this.links.find(address);
    if (calls === undefined || this.isReadingConfiguration) return;
    this.isReadingConfiguration = true;
    const result = await calls.readConfiguration(ASK_TIMEOUT_MS);
    this.isReadingConfiguration = false;
    if (result.isErr() || result.value === null) return;
    this.options.directory.offer(result.value);
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

  private findHolder(): HolderTarget | undefined {
    const {holder, holderId} = this.roles;
    const {id: selfId} = this.options;
    if (holder !== undefined) return createLocalTarget(holder, selfId);
    if (holderId === undefined) return undefined;
    const address = this.view.addressOf(holderId);
    const calls = address === undefined ? undefined : this.links.find(address);
    if (calls === undefined) return undefined;
    return createPeerTarget(calls, holderId, selfId);
  }
}
