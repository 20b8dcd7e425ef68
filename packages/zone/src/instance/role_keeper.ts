/**
 * Keeps an instance's role: follows the zone's holder, or is it. Owns the holder
 * of this process for as long as its claim is the highest.
 */
import type {DispatcherOptions} from '@goldcrestpier/dispatch';
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
  type Member,
  type Role,
  type SelfState,
} from '../election/index.js';
import {Holder, type HolderOptions} from '../holder/index.js';
import type {ZoneMetrics} from '../metrics/index.js';
import type {Directory, WorkerListing, WorkerPort} from '../ports/index.js';
import type {Claim} from '../protocol/index.js';

/** What a role keeper needs. */
export interface RoleKeeperOptions {
  readonly id: string;
  readonly zone: string;
  /** What this instance may use of processors, in whole ones. */
  readonly processors: number;
  /** The part of its tokens that is this process's own. */
  readonly nonce: number;
  readonly bounds: DispatcherOptions;
  readonly directory: Directory;
  readonly port: WorkerPort;
  readonly findZone: HolderOptions['findZone'];
  /** All other zones of the deployment. */
  readonly otherZones: readonly string[];
  /** Called when a worker turned this instance's token away. */
  readonly onFenced: () => void;
  readonly logs: Logs;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
}

/** The role of one instance. */
export class RoleKeeper {
  private readonly log: Logger;
  private readonly election: Election;
  private role: Role = {kind: 'wait'};
  private current: Holder | undefined;
  private holderLifecycle: Lifecycle | undefined;
  private readonly startedAt = readClock();

  constructor(private readonly options: RoleKeeperOptions) {
    this.log = options.logs.forPart(LogPart.Membership);
    this.election = new Election(options, this.startedAt);
  }

  /** The holder in this process, while it is its turn. */
  get holder(): Holder | undefined {
    return this.current;
  }

  /** Whether it is not known who holds the zone's workers. */
  get isWaiting(): boolean {
    return this.role.kind === 'wait';
  }

  /** The highest claim known. */
  get claim(): Claim | undefined {
    return this.election.claim;
  }

  /** The instance that holds the zone's workers, as far as is known. */
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

  /** Notes a claim; true when it is the highest so far. */
  noteClaim(claim: Claim): boolean {
    if (!this.election.noteClaim(claim)) return false;
    const {holderId, token} = claim;
    this.log.info('heard a higher claim', {holder: holderId, token});
    return true;
  }

  /** Takes the role that fits what is known now. */
  update(members: readonly Member[], self: SelfState, now: Millis): void {
    const before = this.role.kind;
    this.role = this.election.chooseRole(members, self, now);
    switch (this.role.kind) {
      case 'hold':
        break;
      case 'claim':
        this.logClaim(members, self, now);
        this.takeOver(this.role.skip);
        break;
      case 'follow':
      case 'wait':
        this.endHolding();
    }
    this.current?.setWorkers(this.ownWorkers());
    if (before !== this.role.kind) this.logChange(before);
  }

  private takeOver(skip: number): void {
    const {id, nonce, otherZones, directory} = this.options;
    const highest = this.election.claim?.token ?? 0;
    // Only the token's height depends on the time of day, not its safety.
    const token = createToken(highest, nonce, Date.now(), skip);
    this.endHolding();
    this.election.noteClaim({holderId: id, token});
    this.current = this.createHolder(token);
    this.current.surveyZones(otherZones);
    directory.announce(token);
  }

  private logClaim(
    members: readonly Member[],
    {informedSince}: SelfState,
    now: Millis,
  ): void {
    const {claim} = this.election;
    const previous = members.find(({id}) => id === claim?.holderId);
    const silentMs =
      previous?.heardAt === undefined ? undefined : now - previous.heardAt;
    const informedForMs =
      informedSince === undefined ? undefined : now - informedSince;
    this.log.info('claiming the workers of the zone', {
      previous: claim?.holderId,
      previousToken: claim?.token,
      silentMs: roundUnlessUnknown(silentMs),
      isLeaving: previous?.isLeaving,
      known: members.length,
      heard: members.filter(({isHeard}) => isHeard).length,
      informedForMs: roundUnlessUnknown(informedForMs),
      upForMs: Math.round(now - this.startedAt),
    });
  }

  private createHolder(token: number): Holder {
    const {zone, findZone, bounds, port, logs, metrics, lifecycle, onFenced} =
      this.options;
    const child = lifecycle.createChild(`holder ${token}`);
    this.holderLifecycle = child;
    return new Holder({
      zone,
      findZone,
      token,
      bounds,
      port,
      logger: logs.forPart(LogPart.Holding),
      metrics,
      lifecycle: child,
      onFenced: () => {
        this.election.noteFenced(readClock());
        onFenced();
      },
    });
  }

  private endHolding(): void {
    if (this.holderLifecycle === undefined) return;
    void this.holderLifecycle.close();
    this.holderLifecycle = undefined;
    this.current = undefined;
    this.options.directory.announce(undefined);
  }

  private ownWorkers(): WorkerListing {
    const {directory, zone} = this.options;
    const listing = directory.workers();
    const workers = listing.workers.filter(worker => worker.zone === zone);
    return {...listing, workers};
  }

  private logChange(before: Role['kind']): void {
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

function roundUnlessUnknown(ms: Millis | undefined): Millis | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
