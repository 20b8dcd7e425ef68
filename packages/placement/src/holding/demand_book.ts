/**
 * What owners want of one pool, and whose turn it is: first between teams by
 * weight, then inside a team the owner whose task has waited longest.
 */
import type {TeamWeights} from '@goldcrestpier/limits';
import type {PoolDemand} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../fit/index.js';

const DEFAULT_WEIGHT = 1;
/** Teams whose past is remembered. */
const MAX_TEAMS = 2_048;

interface TeamDemand {
  waiting: number;
  oldestAt: Millis;
}

interface OwnerDemand {
  readonly teams: Map<string, TeamDemand>;
  needs: readonly Resources[];
  toldAt: Millis;
  /** Grants sent to this owner so far. */
  sent: number;
  /** Teams of the grants that the owner has not said it received. */
  unseen: string[];
}

/** One owner's wish for one grant. */
export interface Claim {
  readonly owner: string;
  readonly team: string;
  /** For workers: what the owner's first tasks need, any of them. */
  readonly needs: readonly Resources[];
  readonly waitedMs: Millis;
}

/** The demand for one pool at one holder. */
export class DemandBook {
  private readonly owners = new Map<string, OwnerDemand>();
  private readonly virtualTimes = new Map<string, number>();
  private virtualTime = 0;
  private total = 0;

  /** Tasks that wait, as far as is known. */
  get waiting(): number {
    return this.total;
  }

  /** Replaces what an owner told before. */
  replace(owner: string, told: PoolDemand, now: Millis): void {
    const demand = this.touch(owner);
    const received = told.received ?? demand.sent;
    demand.sent = Math.max(demand.sent, received);
    demand.unseen = lastOf(demand.unseen, demand.sent - received);
    demand.needs = told.needs.slice(demand.unseen.length);
    demand.toldAt = now;
    this.forgetTeams(demand);
    for (const {team, waiting, oldestMs} of told.teams) {
      this.total += waiting;
      demand.teams.set(team, {waiting, oldestAt: now - oldestMs});
    }
    // The owner wrote this before it saw these grants.
    for (const team of demand.unseen) this.takeOne(demand, team);
  }

  /** Forgets an owner that is gone. */
  forget(owner: string): void {
    const demand = this.owners.get(owner);
    if (demand !== undefined) this.forgetTeams(demand);
    this.owners.delete(owner);
  }

  /** A grant was lost on its way: it no longer stands for a waiting task. */
  forgetSent(owner: string): void {
    const demand = this.owners.get(owner);
    if (demand !== undefined && demand.sent > 0) demand.sent -= 1;
  }

  /** The owners known, to find those that are gone. */
  get knownOwners(): readonly string[] {
    return [...this.owners.keys()];
  }

  /** The claim whose turn it is, passing over `skipped` owners. */
  next(now: Millis, skipped: ReadonlySet<string>): Claim | undefined {
    let best: Claim | undefined;
    let bestTime = Infinity;
    for (const [owner, demand] of this.owners) {
      if (skipped.has(owner)) continue;
      for (const [team, {waiting, oldestAt}] of demand.teams) {
        if (waiting <= 0) continue;
        const time = this.timeOf(team);
        const waitedMs = now - oldestAt;
        const isLonger = waitedMs > (best?.waitedMs ?? -Infinity);
        if (time > bestTime || (time === bestTime && !isLonger)) continue;
        best = {owner, team, needs: demand.needs, waitedMs};
        bestTime = time;
      }
    }
    return best;
  }

  /** Notes that a claim was granted. */
  grant(
    claim: Claim,
    needs: Resources | undefined,
    weights: TeamWeights,
  ): void {
    const demand = this.touch(claim.owner);
    demand.sent += 1;
    demand.unseen.push(claim.team);
    demand.needs = withoutFirst(demand.needs, needs);
    this.takeOne(demand, claim.team);
    const start = this.timeOf(claim.team);
    const weight = weights[claim.team] ?? DEFAULT_WEIGHT;
    this.virtualTime = start;
    this.virtualTimes.set(claim.team, start + 1 / weight);
    if (this.virtualTimes.size > MAX_TEAMS) this.forgetPast();
  }

  /** Takes one waiting task out; the rest is taken as evenly spread in time. */
  private takeOne(demand: OwnerDemand, team: string): void {
    const known = demand.teams.get(team);
    if (known === undefined || known.waiting <= 0) return;
    const spreadMs = Math.max(demand.toldAt - known.oldestAt, 0);
    known.oldestAt += spreadMs / known.waiting;
    known.waiting -= 1;
    this.total -= 1;
    if (known.waiting === 0) demand.teams.delete(team);
  }

  private forgetTeams(demand: OwnerDemand): void {
    for (const {waiting} of demand.teams.values()) this.total -= waiting;
    demand.teams.clear();
  }

  private timeOf(team: string): number {
    return Math.max(this.virtualTimes.get(team) ?? 0, this.virtualTime);
  }

  private touch(owner: string): OwnerDemand {
    const known = this.owners.get(owner);
    if (known !== undefined) return known;
    const added = {
      teams: new Map<string, TeamDemand>(),
      needs: [],
      toldAt: 0,
      sent: 0,
      unseen: [],
    };
    this.owners.set(owner, added);
    return added;
  }

  private forgetPast(): void {
    for (const [team, time] of this.virtualTimes) {
      if (time <= this.virtualTime) this.virtualTimes.delete(team);
    }
  }
}

function lastOf(list: string[], count: number): string[] {
  return count > 0 ? list.slice(-count) : [];
}

/** Tasks may share one object, and only one of them was granted. */
function withoutFirst(
  list: readonly Resources[],
  needs: Resources | undefined,
): readonly Resources[] {
  const at = needs === undefined ? -1 : list.indexOf(needs);
  return at < 0 ? list : [...list.slice(0, at), ...list.slice(at + 1)];
}
