/**
 * Decides which instance holds its zone's workers. Instances agree by
 * heartbeats alone, so that an outage of the platform's store changes nothing;
 * where two believe to be the holder, the workers follow the higher token.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Claim} from '../protocol/index.js';

/** Silence after which an instance that is watched closely counts as gone, in ms. */
export const SILENCE_MS: Millis = 600;
/** How long a new instance listens before it claims anything, in ms. */
const LISTEN_MS = 250;
/**
 * After this a list that can be read has all instances that live, in ms: their
 * entries lapse while the platform's store is away, unseen by a new instance.
 */
const RELIST_MS = 1_500;
/** Silence of all others after which a cut-off instance takes over, in ms. */
const ALONE_MS = 3_000;
/** How long an instance stays away after workers turned its token away, in ms. */
const FENCED_ALONE_MS = 10_000;
/** The same while other instances can be heard, in ms. */
const FENCED_MS = 300;
/** Added to a token that was turned away although no higher one is known. */
const TOKEN_SKIP = 120;

/** A holder with less than this share of a stronger instance is replaced. */
const WEAK_SHARE = 0.5;
/** How long a strong instance runs before it replaces a weak holder, in ms. */
const REPLACE_AFTER_MS = 1_500;

/** What decides who of several instances should hold. */
export interface Candidate {
  readonly id: string;
  /** What it may use of processors, in whole ones. */
  readonly processors: number;
}

/** Another instance of the zone, as heard. */
export interface Member extends Candidate {
  readonly isLeaving: boolean;
  /** The link to it is too young for its silence to tell anything. */
  readonly isTried: boolean;
  /** When it was last heard from; undefined before the first time. */
  readonly heardAt: Millis | undefined;
  /** Whether that is so short ago that it counts as there. */
  readonly isHeard: boolean;
  /** Its host says that no process listens there any more. */
  readonly isRefused: boolean;
  /** When it last heard the holder that it follows, and which that is. */
  readonly holderId: string | undefined;
  readonly holderHeardAt: Millis | undefined;
}

/** What an instance knows of itself. */
export interface SelfState {
  /** A planned stop has begun. */
  readonly isLeaving: boolean;
  /**
   * Since when the platform's list of instances can be read; undefined before
   * the first time.
   */
  readonly informedSince: Millis | undefined;
}

/** What an instance should do. */
export type Role =
  | {readonly kind: 'hold'}
  | {readonly kind: 'claim'; readonly skip: number}
  | {readonly kind: 'follow'; readonly holderId: string}
  /** Nobody can be followed yet. */
  | {readonly kind: 'wait'};

/** Keeps the highest claim and chooses this instance's role. */
export class Election {
  private highest: Claim | undefined;
  private fencedAt: Millis | undefined;
  private skip = 0;

  constructor(
    private readonly self: Candidate,
    private readonly startedAt: Millis,
  ) {}

  /** The highest claim known. */
  get claim(): Claim | undefined {
    return this.highest;
  }

  /** Notes a claim; true when it is the highest so far. */
  noteClaim(claim: Claim): boolean {
    if (this.highest !== undefined && claim.token <= this.highest.token) {
      return false;
    }
    this.highest = claim;
    if (claim.holderId !== this.self.id) this.skip = 0;
    return true;
  }

  /** Notes that workers turned this instance's token away. */
  noteFenced(now: Millis): void {
    this.fencedAt = now;
    if (this.highest?.holderId !== this.self.id) return;
    this.highest = {holderId: '', token: this.highest.token};
    this.skip += TOKEN_SKIP;
  }

  /** Chooses the role by what is known now. */
  chooseRole(
    members: readonly Member[],
    {isLeaving, informedSince}: SelfState,
    now: Millis,
  ): Role {
    const holderId = this.highest?.holderId ?? '';
    const successor = findSuccessor(members);
    // A leaving holder goes on until its successor's claim is heard.
    if (holderId === this.self.id) return {kind: 'hold'};
    const canNobodySucceed = isLeaving && successor === undefined;
    const isFirst =
      successor === undefined || compareStrength(this.self, successor) < 0;
    if (this.isHolderAlive(holderId, members, canNobodySucceed, now)) {
      const holder = members.find(({id}) => id === holderId);
      if (!isLeaving && isFirst && this.isTooWeak(holder, now)) {
        return {kind: 'claim', skip: this.skip};
      }
      return {kind: 'follow', holderId};
    }
    if (isLeaving && successor !== undefined) return {kind: 'wait'};
    if (!isFirst || this.isStrongerTried(members)) return {kind: 'wait'};
    if (!this.mayClaim(members, informedSince, now)) return {kind: 'wait'};
    return {kind: 'claim', skip: this.skip};
  }

  private isHolderAlive(
    holderId: string,
    members: readonly Member[],
    canNobodySucceed: boolean,
    now: Millis,
  ): boolean {
    const holder = members.find(({id}) => id === holderId);
    if (holder === undefined) {
      return members.some(member => hearsHolder(member, holderId, now));
    }
    if (holder.isLeaving) return canNobodySucceed;
    // Its host says that it is gone, but a cut network can say so as well.
    if (holder.isHeard && !holder.isRefused) return true;
    return members.some(member => hearsHolder(member, holderId, now));
  }

  /** Whether an instance that should rather hold may be heard in a moment. */
  private isStrongerTried(members: readonly Member[]): boolean {
    return members.some(
      member => member.isTried && compareStrength(member, this.self) < 0,
    );
  }

  /** Whether there may be others that are neither heard nor listed yet. */
  private mayOthersLive(
    informedSince: Millis | undefined,
    now: Millis,
  ): boolean {
    if (now - this.startedAt >= ALONE_MS) return false;
    if (informedSince === undefined) return true;
    // Whoever knows of a claim has heard the zone before.
    const isNew = this.highest === undefined;
    return isNew && now - informedSince < RELIST_MS;
  }

  /** Whether a holder that is heard should make way for this instance. */
  private isTooWeak(holder: Member | undefined, now: Millis): boolean {
    if (holder?.isHeard !== true) return false;
    if (now - this.startedAt < REPLACE_AFTER_MS) return false;
    if (this.fencedAt !== undefined) return false;
    return holder.processors < WEAK_SHARE * this.self.processors;
  }

  private mayClaim(
    members: readonly Member[],
    informedSince: Millis | undefined,
    now: Millis,
  ): boolean {
    const heard = members.filter(member => member.isHeard);
    if (this.fencedAt !== undefined) {
      const wait = heard.length > 0 ? FENCED_MS : FENCED_ALONE_MS;
      if (now - this.fencedAt < wait) return false;
    }
    const missing = members.filter(
      member => !member.isHeard && !member.isRefused,
    );
    if (now - this.startedAt < LISTEN_MS) return false;
    if (heard.length === 0 && this.mayOthersLive(informedSince, now)) {
      return false;
    }
    // A majority decides at once; the rest only when all others stay silent.
    if (heard.length + 1 > missing.length) return true;
    const lastHeard = Math.max(
      this.startedAt,
      ...missing.map(({heardAt}) => heardAt ?? this.startedAt),
    );
    return now - lastHeard >= ALONE_MS;
  }
}

function hearsHolder(member: Member, holderId: string, now: Millis): boolean {
  if (!member.isHeard || member.holderId !== holderId) return false;
  const {holderHeardAt} = member;
  return holderHeardAt !== undefined && now - holderHeardAt < SILENCE_MS;
}

/** The other instance that would take over: the strongest, then by id. */
function findSuccessor(members: readonly Member[]): Member | undefined {
  const able = members.filter(
    ({isLeaving, isHeard, isRefused}) => isHeard && !isLeaving && !isRefused,
  );
  return able.sort(compareStrength)[0];
}

/** Puts the instance that should rather hold first; the same everywhere. */
export function compareStrength(one: Candidate, other: Candidate): number {
  if (one.processors !== other.processors) {
    return other.processors - one.processors;
  }
  return one.id < other.id ? -1 : 1;
}
