/**
 * Leader election: decides which instance is the holder of its zone. Instances
 * agree through heartbeats alone, so that an outage of the platform's store has
 * no effect. If two consider themselves holder, workers obey the higher token.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Claim} from '../protocol/index.js';

/** Silence after which a closely monitored instance counts as failed, in ms. */
export const SILENCE_MS: Millis = 600;
/** How long a new instance listens before it may claim the zone, in ms. */
const STARTUP_LISTEN_MS = 250;
/**
 * Time after which a readable list contains all live instances, in ms. Their
 * entries expire during an outage of the platform's store, and a new instance
 * can't tell that from an empty zone.
 */
const REREGISTRATION_MS = 1_500;
/** Silence of all peers after which an isolated instance takes over, in ms. */
const ISOLATED_CLAIM_DELAY_MS = 3_000;
/** How long an instance makes no claim after its token was rejected, in ms. */
const ISOLATED_FENCED_BACKOFF_MS = 10_000;
/** The same while other instances can be heard, in ms. */
const FENCED_BACKOFF_MS = 300;
/** Added to the epoch after a rejection although no higher token is known. */
const EPOCH_SKIP = 120;

/** A holder with less than this share of an instance's CPU is replaced. */
const WEAK_HOLDER_RATIO = 0.5;
/** Minimum uptime of an instance before it replaces a weak holder, in ms. */
const WEAK_HOLDER_REPLACE_DELAY_MS = 1_500;

/** The properties that rank instances in the election. */
export interface Candidate {
  readonly id: string;
  /** Processors that it may use; may be fractional. */
  readonly processors: number;
}

/** Another instance of the zone, as known from heartbeats. */
export interface Member extends Candidate {
  readonly isLeaving: boolean;
  /** Its link is so new that silence doesn't mean a failure. */
  readonly isConnecting: boolean;
  /** When it was last heard; undefined before the first time. */
  readonly heardAt: Millis | undefined;
  /** Whether it was heard within its silence timeout. */
  readonly isResponsive: boolean;
  /** Its host refuses connections, as no process listens there. */
  readonly isRefused: boolean;
  /** The holder that it follows, and when it last heard that one. */
  readonly holderId: string | undefined;
  readonly holderHeardAt: Millis | undefined;
}

/** What an instance knows about itself. */
export interface SelfState {
  /** A planned stop has begun. */
  readonly isLeaving: boolean;
  /**
   * Since when the platform's list of instances can be read; undefined before
   * the first time.
   */
  readonly registrationsKnownSince: Millis | undefined;
}

/** The role that an instance should take. */
export type Role =
  | {readonly kind: 'hold'}
  | {readonly kind: 'claim'; readonly skip: number}
  | {readonly kind: 'follow'; readonly holderId: string}
  /** There is no holder to follow yet. */
  | {readonly kind: 'wait'};

/** Keeps the highest claim and chooses this instance's role. */
export class Election {
  private highestClaim: Claim | undefined;
  private fencedAt: Millis | undefined;
  private skip = 0;

  constructor(
    private readonly self: Candidate,
    private readonly startedAt: Millis,
  ) {}

  /** The highest claim known. */
  get claim(): Claim | undefined {
    return this.highestClaim;
  }

  /** Records a claim; true if it is the highest so far. */
  recordClaim(claim: Claim): boolean {
    if (
      this.highestClaim !== undefined &&
      claim.token <= this.highestClaim.token
    ) {
      return false;
    }
    this.highestClaim = claim;
    if (claim.holderId !== this.self.id) this.skip = 0;
    return true;
  }

  /** Records that a worker rejected this instance's token. */
  recordFenced(now: Millis): void {
    this.fencedAt = now;
    if (this.highestClaim?.holderId !== this.self.id) return;
    this.highestClaim = {holderId: '', token: this.highestClaim.token};
    this.skip += EPOCH_SKIP;
  }

  /** Chooses the role from the current state. */
  chooseRole(
    members: readonly Member[],
    {isLeaving, registrationsKnownSince}: SelfState,
    now: Millis,
  ): Role {
    const holderId = this.highestClaim?.holderId ?? '';
    const successor = findSuccessor(members);
    // A leaving holder continues until it receives its successor's claim.
    if (holderId === this.self.id) return {kind: 'hold'};
    const hasNoSuccessor = isLeaving && successor === undefined;
    const isHighestRanked =
      successor === undefined || compareCandidates(this.self, successor) < 0;
    if (this.isHolderAlive(holderId, members, hasNoSuccessor, now)) {
      const holder = members.find(({id}) => id === holderId);
      if (!isLeaving && isHighestRanked && this.isUnderpowered(holder, now)) {
        return {kind: 'claim', skip: this.skip};
      }
      return {kind: 'follow', holderId};
    }
    if (isLeaving && successor !== undefined) return {kind: 'wait'};
    if (!isHighestRanked || this.isHigherRankedConnecting(members))
      return {kind: 'wait'};
    if (!this.canClaim(members, registrationsKnownSince, now))
      return {kind: 'wait'};
    return {kind: 'claim', skip: this.skip};
  }

  /**
   * When this instance claims the zone at the soonest, if nobody else can do so
   * before: it is new, and no other instance is listed. Undefined otherwise.
   */
  findExpectedClaim(
    members: readonly Member[],
    {isLeaving, registrationsKnownSince}: SelfState,
    now: Millis,
  ): Millis | undefined {
    const isAlone =
      members.length === 0 && registrationsKnownSince !== undefined;
    if (!isAlone || isLeaving) return undefined;
    const knownAt = this.findOthersKnownAt(registrationsKnownSince);
    return now < knownAt ? knownAt : undefined;
  }

  private isHolderAlive(
    holderId: string,
    members: readonly Member[],
    hasNoSuccessor: boolean,
    now: Millis,
  ): boolean {
    const holder = members.find(({id}) => id === holderId);
    if (holder === undefined) {
      return members.some(member => hasHeardHolder(member, holderId, now));
    }
    if (holder.isLeaving) return hasNoSuccessor;
    // A refused connection may also come from a network partition.
    if (holder.isResponsive && !holder.isRefused) return true;
    return members.some(member => hasHeardHolder(member, holderId, now));
  }

  /** Whether a higher-ranked instance may still be connecting. */
  private isHigherRankedConnecting(members: readonly Member[]): boolean {
    return members.some(
      member => member.isConnecting && compareCandidates(member, this.self) < 0,
    );
  }

  /** From when on every other live instance has been heard or is listed. */
  private findOthersKnownAt(
    registrationsKnownSince: Millis | undefined,
  ): Millis {
    const latestAt = this.startedAt + ISOLATED_CLAIM_DELAY_MS;
    if (registrationsKnownSince === undefined) return latestAt;
    // An instance that knows a claim has been in contact with the zone.
    if (this.highestClaim !== undefined) return -Infinity;
    return Math.min(registrationsKnownSince + REREGISTRATION_MS, latestAt);
  }

  /** Whether a responsive holder should be replaced by this instance. */
  private isUnderpowered(holder: Member | undefined, now: Millis): boolean {
    if (holder?.isResponsive !== true) return false;
    if (now - this.startedAt < WEAK_HOLDER_REPLACE_DELAY_MS) return false;
    if (this.fencedAt !== undefined) return false;
    return holder.processors < WEAK_HOLDER_RATIO * this.self.processors;
  }

  private canClaim(
    members: readonly Member[],
    registrationsKnownSince: Millis | undefined,
    now: Millis,
  ): boolean {
    const responsive = members.filter(member => member.isResponsive);
    if (this.fencedAt !== undefined) {
      const backoffMs =
        responsive.length > 0 ? FENCED_BACKOFF_MS : ISOLATED_FENCED_BACKOFF_MS;
      if (now - this.fencedAt < backoffMs) return false;
    }
    const unresponsive = members.filter(
      member => !member.isResponsive && !member.isRefused,
    );
    if (now - this.startedAt < STARTUP_LISTEN_MS) return false;
    const othersKnownAt = this.findOthersKnownAt(registrationsKnownSince);
    if (responsive.length === 0 && now < othersKnownAt) return false;
    // A majority may claim at once, a minority only after a long silence.
    if (responsive.length + 1 > unresponsive.length) return true;
    const lastHeardAt = Math.max(
      this.startedAt,
      ...unresponsive.map(({heardAt}) => heardAt ?? this.startedAt),
    );
    return now - lastHeardAt >= ISOLATED_CLAIM_DELAY_MS;
  }
}

function hasHeardHolder(
  member: Member,
  holderId: string,
  now: Millis,
): boolean {
  if (!member.isResponsive || member.holderId !== holderId) return false;
  const {holderHeardAt} = member;
  return holderHeardAt !== undefined && now - holderHeardAt < SILENCE_MS;
}

/** Finds the highest-ranked other instance that could take over. */
function findSuccessor(members: readonly Member[]): Member | undefined {
  const eligible = members.filter(
    ({isLeaving, isResponsive, isRefused}) =>
      isResponsive && !isLeaving && !isRefused,
  );
  return eligible.sort(compareCandidates)[0];
}

/** Ranks by processors, highest first, then by id; all instances agree. */
export function compareCandidates(one: Candidate, other: Candidate): number {
  if (one.processors !== other.processors) {
    return other.processors - one.processors;
  }
  return one.id < other.id ? -1 : 1;
}
