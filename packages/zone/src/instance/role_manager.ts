/**
 * Manages an instance's role: follower or holder of its zone. Creates the
 * holder of this process and closes it when a higher claim is known.
 */
import {
  computeLeaseExpiry,
  type DispatcherOptions,
  type TaskHistory,
} from '@goldcrestpier/dispatch';
import {
  LogPart,
  readClock,
  type Lifecycle,
  type Logger,
  type Logs,
  type Millis,
} from '@goldcrestpier/runtime';
import {
  createToken,
  Election,
  HolderSuccession,
  type Member,
  type Role,
  type SelfState,
} from '../election/index.js';
import {Holder, type HolderOptions} from '../holder/index.js';
import type {ZoneMetrics} from '../metrics/index.js';
import type {Directory, WorkerListing, WorkerPort} from '../ports/index.js';
import type {Claim} from '../protocol/index.js';

/** Dependencies and settings of a role manager. */
export interface RoleManagerOptions {
  readonly id: string;
  readonly zone: string;
  /** Processors that this instance may use; may be fractional. */
  readonly processors: number;
  /** The part of its fencing tokens that is unique to this process. */
  readonly nonce: number;
  readonly dispatchOptions: DispatcherOptions;
  /** What this instance knows of tasks. */
  readonly history: TaskHistory;
  readonly directory: Directory;
  readonly workerPort: WorkerPort;
  readonly findZoneClient: HolderOptions['findZoneClient'];
  /** All other zones of the deployment. */
  readonly otherZones: readonly string[];
  /** Called when a worker rejected this instance's fencing token. */
  readonly onFenced: () => void;
  readonly logs: Logs;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
}

/** Manages the role of one instance. */
export class RoleManager {
  private readonly log: Logger;
  private readonly election: Election;
  private readonly succession: HolderSuccession;
  private role: Role = {kind: 'wait'};
  private currentHolder: Holder | undefined;
  private holderLifecycle: Lifecycle | undefined;
  private readonly startedAt = readClock();

  constructor(private readonly options: RoleManagerOptions) {
    this.log = options.logs.forPart(LogPart.Membership);
    this.election = new Election(options, this.startedAt);
    const settleMs = computeLeaseExpiry(0, options.dispatchOptions.leaseMs);
    this.succession = new HolderSuccession(settleMs);
  }

  /** The holder in this process, while there is one. */
  get holder(): Holder | undefined {
    return this.currentHolder;
  }

  /** Whether the zone has no known holder. */
  get isWaiting(): boolean {
    return this.role.kind === 'wait';
  }

  /** The highest claim known. */
  get claim(): Claim | undefined {
    return this.election.claim;
  }

  /** Id of the zone's holder, if one is known. */
  get holderId(): string | undefined {
    switch (this.role.kind) {
      case 'hold':
      case 'claim':
        return this.options.id;
      case 'follow':
        return this.role.holderId;
      case 'wait':
        return undefined;
    }
  }

  /** Describes the highest claim known, as it is told to peers. */
  describeClaim(now: Millis): Claim | undefined {
    const {claim} = this;
    if (claim === undefined) return undefined;
    const {holderId, token} = claim;
    const unsettledMs = this.succession.findUnsettledMs(now);
    return {holderId, token, ...(unsettledMs !== undefined && {unsettledMs})};
  }

  /** Records a claim; true if it is the highest so far. */
  recordClaim(claim: Claim, now: Millis): boolean {
    this.succession.record(claim, now);
    if (!this.election.recordClaim(claim)) return false;
    const {holderId, token} = claim;
    this.log.info('received a higher claim', {holder: holderId, token});
    return true;
  }

  /** When this instance claims the zone, if only it can; else undefined. */
  findExpectedClaim(
    members: readonly Member[],
    isLeaving: boolean,
    now: Millis,
  ): Millis | undefined {
    if (!this.isWaiting) return undefined;
    const self = this.describeSelf(isLeaving);
    return this.election.findExpectedClaim(members, self, now);
  }

  /** Chooses the role again and applies it. */
  update(members: readonly Member[], isLeaving: boolean, now: Millis): void {
    const before = this.role.kind;
    const self = this.describeSelf(isLeaving);
    this.role = this.election.chooseRole(members, self, now);
    switch (this.role.kind) {
      case 'hold':
        break;
      case 'claim':
        this.logClaim(members, self, now);
        this.takeOver(this.role.skip, now);
        break;
      case 'follow':
      case 'wait':
        this.closeHolder();
    }
    if (isLeaving) this.currentHolder?.soleHolder.markLeaving();
    this.currentHolder?.setWorkers(this.listZoneWorkers());
    if (before !== this.role.kind) this.logRoleChange(before);
  }

  private describeSelf(isLeaving: boolean): SelfState {
    const registrationsKnownSince = this.options.directory.registrationsSince();
    return {isLeaving, registrationsKnownSince};
  }

  private takeOver(skip: number, now: Millis): void {
    const {id, nonce, otherZones, directory} = this.options;
    const highest = this.election.claim?.token ?? 0;
    // A wrong wall clock affects how high the token is, but not its safety.
    const token = createToken(highest, nonce, Date.now(), skip);
    this.closeHolder();
    this.election.recordClaim({holderId: id, token});
    this.succession.record({holderId: id, token, unsettledMs: 0}, now);
    this.currentHolder = this.createHolder(token);
    this.currentHolder.discoverDelegatedTasks(otherZones);
    directory.announce(token);
  }

  private logClaim(
    members: readonly Member[],
    {registrationsKnownSince}: SelfState,
    now: Millis,
  ): void {
    const {claim} = this.election;
    const previous = members.find(({id}) => id === claim?.holderId);
    const silentMs =
      previous?.heardAt === undefined ? undefined : now - previous.heardAt;
    const informedForMs =
      registrationsKnownSince === undefined
        ? undefined
        : now - registrationsKnownSince;
    this.log.info('claiming the workers of the zone', {
      previous: claim?.holderId,
      previousToken: claim?.token,
      silentMs: roundIfKnown(silentMs),
      isLeaving: previous?.isLeaving,
      known: members.length,
      heard: members.filter(({isResponsive}) => isResponsive).length,
      informedForMs: roundIfKnown(informedForMs),
      upForMs: Math.round(now - this.startedAt),
    });
  }

  private createHolder(token: number): Holder {
    const {
      zone,
      findZoneClient,
      directory,
      dispatchOptions,
      history,
      workerPort,
      logs,
      metrics,
      lifecycle,
      onFenced,
    } = this.options;
    const {unclaimedSince} = this.succession;
    const child = lifecycle.createChild(`holder ${token}`);
    this.holderLifecycle = child;
    return new Holder({
      zone,
      findZoneClient,
      token,
      dispatchOptions: {...dispatchOptions, unclaimedSince},
      history,
      evacuation: {
        isKnown: () => directory.areEvacuationsKnown(),
        isActive: () =>
          directory.evacuatedZones()?.zones.includes(zone) === true,
      },
      workerPort,
      logger: logs.forPart(LogPart.Holding),
      metrics,
      lifecycle: child,
      onFenced: () => {
        this.election.recordFenced(readClock());
        onFenced();
      },
    });
  }

  private closeHolder(): void {
    if (this.holderLifecycle === undefined) return;
    void this.holderLifecycle.close();
    this.holderLifecycle = undefined;
    this.currentHolder = undefined;
    this.options.directory.announce(undefined);
  }

  private listZoneWorkers(): WorkerListing {
    const {directory, zone} = this.options;
    const listing = directory.workers();
    const workers = listing.workers.filter(worker => worker.zone === zone);
    return {...listing, workers};
  }

  private logRoleChange(before: Role['kind']): void {
    const {kind} = this.role;
    this.options.metrics.roles.inc({role: kind});
    this.log.info('role changed', {
      from: before,
      to: kind,
      holder: this.holderId,
      token: this.claim?.token,
    });
  }
}

function roundIfKnown(ms: Millis | undefined): Millis | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
