/** One instance of a zone: owns its callers' jobs and may be the holder. */
import {TaskHistory, type Job} from '@goldcrestpier/dispatch';
import {LogPart, readClock, type Millis} from '@goldcrestpier/runtime';
import {notHolderAnswer} from '../holder/index.js';
import {Owner, type OwnerAnswer} from '../owner/index.js';
import type {Configuration} from '../ports/index.js';
import {
  type JobAnswer,
  type JobInquiry,
  type JobCancellation,
  type JobSubmission,
  type TaskDelegation,
  type DelegatedTasksQuery,
  type DelegationRecall,
  type ZoneClient,
  type ZoneHandlers,
  type ZoneHeartbeat,
} from '../protocol/index.js';
import {Activity} from './activity.js';
import {ConfigurationFetcher} from './configuration_fetcher.js';
import {HolderChangeNotifier} from './holder_change_notifier.js';
import type {InstanceOptions} from './instance_options.js';
import {findHolderClient} from './holder_client.js';
import {DelegationHandler} from './delegation_handler.js';
import {InboundConnections} from './inbound_connections.js';
import {JobInquiries} from './job_inquiries.js';
import {PeerLinks} from './links.js';
import {LoopDelay} from './loop_delay.js';
import {Newcomers} from './newcomers.js';
import {OtherZones} from './other_zones.js';
import {createOwnHeartbeat} from './own_heartbeat.js';
import {RoleManager} from './role_manager.js';
import {StepScheduler} from './step_scheduler.js';
import {StateChangeDetector, describeState} from './state_change_detector.js';
import {updateUnwantedWork} from './unwanted_work.js';
import {ZoneView} from './zone_view.js';

/** A running instance. */
export class Instance implements ZoneHandlers {
  /** Finds and cancels jobs for callers. */
  readonly inquiries: JobInquiries;
  /** The open connections of peers to this instance. */
  readonly connections = new InboundConnections();
  /** Finds or cancels a job for a peer. */
  readonly inquire = (message: JobInquiry) => this.inquiries.answer(message);
  /** Runs a task that the holder of another zone delegates. */
  readonly runDelegatedTask = (message: TaskDelegation) =>
    this.inbound.runDelegatedTask(message);
  /** Stops a task that another zone recalls. */
  readonly recall = (message: DelegationRecall) => this.inbound.recall(message);
  /** Lists the tasks that are known to run here for another zone. */
  readonly listDelegatedTasks = (query: DelegatedTasksQuery) =>
    this.inbound.listDelegatedTasks(query);
  private readonly address: string;
  private readonly view: ZoneView;
  private readonly zones: OtherZones;
  private readonly roles: RoleManager;
  private readonly links: PeerLinks;
  private readonly inbound: DelegationHandler;
  private readonly owner: Owner;
  private readonly notifier = new HolderChangeNotifier();
  private readonly fetcher: ConfigurationFetcher;
  private readonly scheduler: StepScheduler;
  private readonly activity = new Activity();
  private readonly changes = new StateChangeDetector();
  private readonly history = new TaskHistory();
  private readonly newcomers = new Newcomers();
  private isLeaving = false;

  constructor(private readonly options: InstanceOptions) {
    const {id, zone, processors, listen, logs, metrics, seeds} = options;
    this.address = `${listen.host}:${listen.port}`;
    const self = {id, processors};
    this.view = new ZoneView(zone, this.address, self, this.connections);
    this.zones = new OtherZones(zone);
    for (const seed of seeds) this.view.addAddress(seed);
    this.roles = new RoleManager({
      ...options,
      history: this.history,
      findZoneClient: other => this.findZoneClient(other),
      // The role is chosen again in the next step, not within this one.
      onFenced: () => this.scheduler.wake(),
    });
    const findHolder = () => this.roles.holder;
    this.inbound = new DelegationHandler(this.zones, findHolder, this.history);
    this.links = new PeerLinks({
      ...options,
      createHeartbeat: (now, isOther) => this.createHeartbeat(now, isOther),
      onAnswer: (message, sentAt) => this.handleAnswer(message, sentAt),
      onRefused: (address, at) => this.view.recordRefusal(address, at),
    });
    this.fetcher = new ConfigurationFetcher({
      ...options,
      findClient: address => this.links.find(address),
    });
    this.owner = new Owner({
      selfId: id,
      history: this.history,
      findHolder: () =>
        findHolderClient(this.roles, id, other => this.findClient(other)),
      waitForHolderChange: (from, signal) => this.notifier.wait(from, signal),
      isAlive: (other, now) => other === id || this.view.isAlive(other, now),
      holderExpectedAt: now => this.findExpectedClaim(now),
      onHolderUnavailable: now => this.recordHolderUnavailable(now),
      logger: logs.forPart(LogPart.Jobs),
      metrics,
    });
    this.inquiries = new JobInquiries({
      owner: this.owner,
      findHolder,
      findHolderClient: () => this.findClient(this.roles.holderId),
      listZoneClients: () => this.links.findAll(this.zones.addresses),
    });
    this.scheduler = new StepScheduler({
      step: now => this.step(now),
      loopDelay: new LoopDelay(logs.forPart(LogPart.Membership), metrics),
      lifecycle: options.lifecycle,
    });
  }

  /** Starts the periodic steps. */
  start(): void {
    this.scheduler.start();
  }

  /** Runs a caller's job. Aborting `signal` cancels it. */
  run(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    const answer = this.owner.run(job, signal);
    // The next step makes this instance monitor the holder closely.
    if (!this.activity.isBusy(readClock())) this.scheduler.wake();
    return answer;
  }

  /** Whether this instance should receive new connections. */
  isReady(now: Millis): boolean {
    const isConfigured = this.options.directory.configuration() !== undefined;
    return !this.isLeaving && isConfigured && this.activity.hasHolder(now);
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
  recordPing(id: string): void {
    this.view.recordContact(id, readClock());
  }

  /** Handles a peer's heartbeat. */
  heartbeat(message: ZoneHeartbeat): Promise<ZoneHeartbeat> {
    const now = readClock();
    const tellsAll = this.newcomers.recordHeartbeat(message.id, now);
    this.handleHeartbeat(message, now);
    const isOther = message.zone !== this.options.zone;
    return Promise.resolve(this.createHeartbeat(now, isOther, tellsAll));
  }

  /** Submits a job to the holder in this process. */
  submit(message: JobSubmission): Promise<JobAnswer> {
    const now = readClock();
    this.view.recordContact(message.ownerId, now);
    this.history.merge(message, now);
    return this.roles.holder?.submit(message) ?? notHolderAnswer;
  }

  /** Cancels requests of a peer for a job. */
  cancel(message: JobCancellation): Promise<boolean> {
    const {holder} = this.roles;
    holder?.cancel(message);
    return Promise.resolve(holder !== undefined);
  }

  /** Returns the newest known configuration. */
  readConfiguration(): Promise<Configuration | null> {
    return Promise.resolve(this.options.directory.configuration() ?? null);
  }

  /** Runs one step; returns the time until the next one, in ms. */
  private step(now: Millis): Millis {
    const {directory} = this.options;
    const registrations = directory.registrations();
    this.activity.recordStep(now);
    for (const {address, at} of this.links.listAnswers())
      this.view.recordAnswer(address, at);
    this.view.setRegistrations(registrations, now);
    this.zones.setRegistrations(registrations, now);
    if (this.owner.hasJobs) this.activity.recordJobs(now);
    const isCandidate = this.chooseLinks(now);
    directory.setCandidate(isCandidate);
    this.roles.update(this.view.listMembers(now), this.isLeaving, now);
    const {view, zones} = this;
    const {holderId, holder} = this.roles;
    const parties = {id: this.options.id, view, zones};
    holder?.soleHolder.proveUntil(view.findProofEnd());
    if (holder !== undefined) updateUnwantedWork(holder, parties, now);
    const {roles, history, isLeaving} = this;
    const state = describeState({roles, history, zones, directory, isLeaving});
    this.links.sendHeartbeats(now, {isUrgent: this.changes.hasChanged(state)});
    if (holderId !== undefined) {
      this.activity.recordHolder(now);
      this.notifier.notify(holderId);
    }
    const isShort = isCandidate || this.isHolderUncertain(now);
    return this.activity.chooseInterval(isShort || holder !== undefined, now);
  }

  /** Updates the links; returns whether this instance is a candidate. */
  private chooseLinks(now: Millis): boolean {
    const {holder, claim} = this.roles;
    const isHolder = holder !== undefined;
    const isProofNeeded = holder?.soleHolder.isProofNeeded === true;
    const context = {
      holderId: claim?.holderId,
      isHolderUncertain: isProofNeeded || this.isHolderUncertain(now),
      hasJobs: this.activity.isBusy(now),
      isHolder,
    };
    const {links, isCandidate} = this.view.chooseLinks(context, now);
    this.links.setPeers(links, isHolder ? this.zones.addresses : []);
    return isCandidate;
  }

  /** Whether all peers have to be asked which instance is the holder. */
  private isHolderUncertain(now: Millis): boolean {
    if (this.isLeaving || this.roles.isWaiting) return true;
    if (this.activity.wasHolderUnavailable(now)) return true;
    const {holderId} = this.roles;
    return holderId !== undefined && this.view.isSuspected(holderId, now);
  }

  private findExpectedClaim(now: Millis): Millis | undefined {
    const members = this.view.listMembers(now);
    return this.roles.findExpectedClaim(members, this.isLeaving, now);
  }

  private recordHolderUnavailable(now: Millis): void {
    if (!this.isHolderUncertain(now)) this.scheduler.wake();
    this.activity.recordHolderUnavailable(now);
  }

  private findZoneClient(zone: string): ZoneClient | undefined {
    return this.links.find(this.zones.findAddress(zone));
  }

  private handleAnswer(message: ZoneHeartbeat, sentAt: Millis): void {
    this.handleHeartbeat(message, readClock());
    if (message.claim?.holderId === this.options.id)
      this.view.recordFollower(message.id, sentAt);
    const {configurationVersion, configurationAgeMs} = message;
    if (configurationAgeMs === undefined) return;
    // The peer measured the age after `sentAt`, so this is a lower bound.
    const asOf = sentAt - configurationAgeMs;
    this.options.directory.confirmConfiguration(configurationVersion, asOf);
  }

  private handleHeartbeat(message: ZoneHeartbeat, now: Millis): void {
    this.view.recordHeartbeat(message, now);
    this.history.merge(message, now);
    if (message.evacuated !== undefined)
      this.options.directory.offerEvacuatedZones(message.evacuated);
    this.zones.mergeTokens(message.zoneTokens ?? [], now);
    const {zone, claim} = message;
    if (zone !== this.options.zone) {
      if (this.zones.recordHeartbeat(message, now))
        this.roles.holder?.handleZoneHeartbeat(message);
    } else if (claim !== undefined && this.roles.recordClaim(claim, now)) {
      // An immediate step shortens the time during which there are two holders.
      this.step(now);
    }
    const own = this.options.directory.configuration()?.version ?? 0;
    if (message.configurationVersion > own)
      void this.fetcher.fetchFrom(message.address);
  }

  private createHeartbeat(
    now: Millis,
    isForOtherZone: boolean,
    tellsAll = false,
  ) {
    const {id, zone, processors, directory} = this.options;
    const {address, isLeaving, roles, view, history, zones} = this;
    const claim = roles.describeClaim(now);
    const holderHeardMs = claim && view.findSilence(claim.holderId, now);
    const self = {id, zone, address, processors, isLeaving};
    const state = {...self, claim, holderHeardMs};
    const sources = {directory, history, zones, holder: roles.holder};
    const receiver = {isForOtherZone, tellsAll};
    return createOwnHeartbeat(state, sources, receiver, now);
  }

  private findClient(id: string | undefined): ZoneClient | undefined {
    return this.links.find(id === undefined ? id : this.view.findAddress(id));
  }
}
