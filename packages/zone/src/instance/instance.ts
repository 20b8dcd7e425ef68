/** One instance of a zone: owns its callers' jobs and may be the holder. */
import {AbandonReason, type Job} from '@goldcrestpier/dispatch';
import {LogPart, readClock, type Millis} from '@goldcrestpier/runtime';
import {Owner, type OwnerAnswer} from '../owner/index.js';
import type {Configuration} from '../ports/index.js';
import {
  type Claim,
  type JobAnswer,
  type JobCancellation,
  type JobSubmission,
  type TaskDelegation,
  type DelegationAnswer,
  type DelegatedTaskList,
  type DelegatedTasksQuery,
  type DelegationRecall,
  type ZoneClient,
  type ZoneHandlers,
  type ZoneHeartbeat,
} from '../protocol/index.js';
import {Activity} from './activity.js';
import {ConfigurationFetcher} from './configuration_fetch.js';
import {HolderChangeNotifier} from './holder_change.js';
import type {InstanceOptions} from './instance_options.js';
import {findHolderClient} from './holder_client.js';
import {DelegationHandler} from './delegation_handler.js';
import {PeerLinks} from './links.js';
import {LoopDelay} from './loop_delay.js';
import {toZoneCapacity, type Holder} from '../holder/index.js';
import {OtherZones} from './other_zones.js';
import {createOwnHeartbeat} from './own_heartbeat.js';
import {RoleManager} from './role_manager.js';
import {StepScheduler} from './step_scheduler.js';
import {StateChangeDetector} from './told_news.js';
import {ZoneView} from './zone_view.js';

/** A running instance. */
export class Instance implements ZoneHandlers {
  private readonly address: string;
  private readonly view: ZoneView;
  private readonly zones: OtherZones;
  private readonly roles: RoleManager;
  private readonly links: PeerLinks;
  private readonly delegated: DelegationHandler;
  private readonly owner: Owner;
  private readonly change = new HolderChangeNotifier();
  private readonly fetcher: ConfigurationFetcher;
  private readonly stepper: StepScheduler;
  private readonly activity = new Activity();
  private readonly changes = new StateChangeDetector();
  private isLeaving = false;

  constructor(private readonly options: InstanceOptions) {
    const {id, zone, processors, listen, logs, metrics, seeds} = options;
    this.address = `${listen.host}:${listen.port}`;
    this.view = new ZoneView(zone, this.address, {id, processors});
    this.zones = new OtherZones(zone);
    for (const seed of seeds) this.view.addAddress(seed);
    this.roles = new RoleManager({
      ...options,
      findZoneClient: other => this.findZoneClient(other),
      // The role is chosen again in the next step, not within this one.
      onFenced: () => this.stepper.wake(),
    });
    this.delegated = new DelegationHandler(this.zones, () => this.roles.holder);
    this.links = new PeerLinks({
      ...options,
      createHeartbeat: (now, isForeign) => this.createHeartbeat(now, isForeign),
      onAnswer: (message, sentAt) => this.handleAnswer(message, sentAt),
      onRefused: address => this.view.noteRefused(address),
    });
    this.fetcher = new ConfigurationFetcher({
      ...options,
      findClient: address => this.links.find(address),
    });
    this.owner = new Owner({
      selfId: id,
      findHolder: () =>
        findHolderClient(this.roles, id, other => this.findClient(other)),
      waitForHolderChange: (from, signal) => this.change.wait(from, signal),
      isAlive: (other, now) => other === id || this.view.isAlive(other, now),
      onHolderUnavailable: now => this.noteHolderUnavailable(now),
      logger: logs.forPart(LogPart.Jobs),
      metrics,
    });
    const log = logs.forPart(LogPart.Membership);
    this.stepper = new StepScheduler({
      step: now => this.step(now),
      delay: new LoopDelay(log, metrics),
      lifecycle: options.lifecycle,
    });
  }

  /** Starts the periodic steps. */
  start(): void {
    this.stepper.start();
  }

  /** Runs a caller's job. Aborting `signal` cancels it. */
  run(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    const answer = this.owner.run(job, signal);
    // From now on the holder is monitored closely.
    if (!this.activity.isBusy(readClock())) this.stepper.wake();
    return answer;
  }

  /** Whether a caller of this instance waits for the job. */
  isWaitedFor(jobId: string): boolean {
    return this.owner.isWaitedFor(jobId);
  }

  /** Cancels a job for all its callers; false if it has none here. */
  giveUpAll(jobId: string): boolean {
    return this.owner.giveUpAll(jobId);
  }

  /** Whether this instance should receive new connections. */
  isReady(now: Millis): boolean {
    if (this.isLeaving) return false;
    if (this.options.directory.configuration() === undefined) return false;
    return this.activity.hasHolder(now);
  }

  /** Starts a planned stop, so that another instance takes over. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Counts jobs of a queue that have not started; 0 if not the holder. */
  countWaiting(queue: string): number {
    return this.roles.holder?.countWaiting(queue) ?? 0;
  }

  /** Records a ping from the instance with this id. */
  notePing(id: string): void {
    this.view.noteContact(id, readClock());
  }

  /** Handles a peer's heartbeat. */
  heartbeat(message: ZoneHeartbeat): Promise<ZoneHeartbeat> {
    const now = readClock();
    this.handleHeartbeat(message, now);
    const isForeign = message.zone !== this.options.zone;
    return Promise.resolve(this.createHeartbeat(now, isForeign));
  }

  /** Submits a job to the holder in this process. */
  submit(message: JobSubmission): Promise<JobAnswer> {
    this.view.noteContact(message.ownerId, readClock());
    const {holder} = this.roles;
    if (holder !== undefined) return holder.submit(message);
    return Promise.resolve({kind: 'not_holder', mayHaveStarted: false});
  }

  /** Cancels a job that a peer submitted. */
  cancel({ownerId, jobId}: JobCancellation): Promise<boolean> {
    const {holder} = this.roles;
    holder?.cancel(ownerId, jobId, AbandonReason.Cancelled);
    return Promise.resolve(holder !== undefined);
  }

  /** Returns the newest known configuration. */
  readConfiguration(): Promise<Configuration | null> {
    return Promise.resolve(this.options.directory.configuration() ?? null);
  }

  /** Runs a task that the holder of another zone delegates. */
  lend(message: TaskDelegation): Promise<DelegationAnswer> {
    return this.delegated.lend(message);
  }

  /** Stops a task that another zone recalls. */
  recall(message: DelegationRecall): Promise<boolean> {
    return this.delegated.recall(message);
  }

  /** Lists the tasks that are known to run here for another zone. */
  listLent(taskQuery: DelegatedTasksQuery): Promise<DelegatedTaskList> {
    return this.delegated.listLent(taskQuery);
  }

  /** Runs one step; returns the time until the next one, in ms. */
  private step(now: Millis): Millis {
    const {directory} = this.options;
    const registrations = directory.registrations();
    this.activity.noteStep(now);
    for (const {address, at} of this.links.listAnswers()) {
      this.view.noteAnswer(address, at);
    }
    this.view.setRegistrations(registrations, now);
    this.zones.setRegistrations(registrations, now);
    if (this.owner.hasJobs) this.activity.noteJobs(now);
    const isCandidate = this.chooseLinks(now);
    directory.setCandidate(isCandidate);
    const informedSince = directory.registrationsSince();
    const self = {isLeaving: this.isLeaving, informedSince};
    this.roles.update(this.view.listMembers(now), self, now);
    const version = directory.configuration()?.version;
    const state = {claim: this.roles.claim, isLeaving: this.isLeaving, version};
    this.links.sendHeartbeats(now, {isUrgent: this.changes.hasChanged(state)});
    const {holderId, holder} = this.roles;
    if (holderId !== undefined) {
      this.activity.noteHolder(now);
      this.change.notify(holderId);
    }
    if (holder !== undefined) this.cancelUnwanted(holder, now);
    const isShort = isCandidate || this.isUnsettled(now);
    return this.activity.chooseInterval(isShort || holder !== undefined, now);
  }

  /** Updates the links; returns whether this instance is a candidate. */
  private chooseLinks(now: Millis): boolean {
    const isHolder = this.roles.holder !== undefined;
    const context = {
      holderId: this.roles.claim?.holderId,
      isUnsettled: this.isUnsettled(now),
      hasJobs: this.activity.isBusy(now),
      isHolder,
    };
    const {links, isCandidate} = this.view.chooseLinks(context, now);
    this.links.setPeers(links, isHolder ? this.zones.addresses : []);
    return isCandidate;
  }

  /** Whether peers have to be asked for the holder. */
  private isUnsettled(now: Millis): boolean {
    if (this.isLeaving || this.roles.isWaiting) return true;
    if (this.activity.wasHolderUnavailable(now)) return true;
    const {holderId} = this.roles;
    return holderId !== undefined && this.view.isSuspected(holderId, now);
  }

  private noteHolderUnavailable(now: Millis): void {
    const isKnown = this.isUnsettled(now);
    this.activity.noteHolderUnavailable(now);
    if (!isKnown) this.stepper.wake();
  }

  /** Cancels jobs and tasks that are no longer waited for. */
  private cancelUnwanted(holder: Holder, now: Millis): void {
    const {id} = this.options;
    holder.cancelJobsOfLostOwners(
      ownerId => ownerId === id || this.view.isAlive(ownerId, now),
    );
    holder.cancelUnwantedTasks((other, token) =>
      this.zones.isTaskWanted(other, token, now),
    );
  }

  private findZoneClient(zone: string): ZoneClient | undefined {
    const address = this.zones.findAddress(zone);
    return address === undefined ? undefined : this.links.find(address);
  }

  private handleAnswer(message: ZoneHeartbeat, sentAt: Millis): void {
    this.handleHeartbeat(message, readClock());
    const {configurationVersion, configurationAgeMs} = message;
    if (configurationAgeMs === undefined) return;
    // The age was measured after `sentAt`, so that this is a lower bound.
    const asOf = sentAt - configurationAgeMs;
    this.options.directory.confirmConfiguration(configurationVersion, asOf);
  }

  private handleHeartbeat(message: ZoneHeartbeat, now: Millis): void {
    this.view.noteHeartbeat(message, now);
    if (message.zone !== this.options.zone) this.handleOtherZone(message, now);
    else if (message.claim !== undefined) this.noteClaim(message.claim, now);
    const own = this.options.directory.configuration()?.version ?? 0;
    if (message.configurationVersion > own) {
      void this.fetcher.fetchFrom(message.address);
    }
  }

  private handleOtherZone(message: ZoneHeartbeat, now: Millis): void {
    this.zones.noteHeartbeat(message, now);
    const {zone, rooms = []} = message;
    for (const room of rooms)
      this.roles.holder?.noteFreeCapacity(toZoneCapacity(zone, room));
  }

  private noteClaim(claim: Claim, now: Millis): void {
    // A step at once shortens the time with two holders.
    if (this.roles.noteClaim(claim)) this.step(now);
  }

  private createHeartbeat(now: Millis, withRooms: boolean): ZoneHeartbeat {
    const {id, zone, processors, directory} = this.options;
    const {claim, holder} = this.roles;
    const {address, isLeaving} = this;
    const holderHeardMs = claim && this.view.findSilence(claim.holderId, now);
    const rooms = withRooms ? holder?.findFreeCapacity() : undefined;
    const self = {id, zone, address, processors, isLeaving, directory};
    return createOwnHeartbeat({...self, claim, holderHeardMs, rooms}, now);
  }

  private findClient(id: string): ZoneClient | undefined {
    const address = this.view.findAddress(id);
    return address === undefined ? undefined : this.links.find(address);
  }
}
