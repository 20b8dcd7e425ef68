/**
 * The demand of all owners for one pool, in the order in which it is served:
 * weighted fair queueing between teams, then within a team the owner whose
 * task has waited longest.
 */
import type {TeamWeights} from '@goldcrestpier/limits';
import type {PoolDemand} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../fit/index.js';

const DEFAULT_WEIGHT = 1;
/** Teams whose virtual time is kept before old entries are pruned. */
const MAX_TRACKED_TEAMS = 2_048;

interface TeamDemand {
  waiting: number;
  oldestAt: Millis;
}

interface OwnerDemand {
  readonly teams: Map<string, TeamDemand>;
  needs: readonly Resources[];
  /** When the owner last sent its demand. */
  updatedAt: Millis;
  /** Grants sent to this owner so far. */
  grantsSent: number;
  /** Teams of the grants whose receipt the owner has not confirmed. */
  unacknowledged: string[];
}

/** The demand of one owner and team for one grant. */
export interface Claim {
  readonly owner: string;
  readonly team: string;
  /**
   * For workers: the needs of the owner's first tasks. A grant may serve any
   * one of them.
   */
  readonly needs: readonly Resources[];
  readonly waitedMs: Millis;
}

/** Orders the demand for one pool at one holder. */
export class DemandQueue {
  private readonly owners = new Map<string, OwnerDemand>();
  private readonly virtualTimes = new Map<string, number>();
  private virtualTime = 0;
  private waitingTotal = 0;

  /** Waiting tasks, as last reported by the owners. */
  get waiting(): number {
    return this.waitingTotal;
  }

  /** Replaces an owner's previous demand. */
  replace(owner: string, poolDemand: PoolDemand, now: Millis): void {
    const demand = this.getOrCreate(owner);
    const received = poolDemand.received ?? demand.grantsSent;
    demand.grantsSent = Math.max(demand.grantsSent, received);
    demand.unacknowledged = lastOf(
      demand.unacknowledged,
      demand.grantsSent - received,
    );
    demand.needs = poolDemand.needs.slice(demand.unacknowledged.length);
    demand.updatedAt = now;
    this.clearTeams(demand);
    for (const {team, waiting, oldestMs} of poolDemand.teams) {
      this.waitingTotal += waiting;
      demand.teams.set(team, {waiting, oldestAt: now - oldestMs});
    }
    // The owner sent this demand before it received these grants.
    for (const team of demand.unacknowledged) this.removeOldest(demand, team);
  }

  /** Removes an owner that has left the membership. */
  removeOwner(owner: string): void {
    const demand = this.owners.get(owner);
    if (demand !== undefined) this.clearTeams(demand);
    this.owners.delete(owner);
  }

  /** Records that a grant was lost, so that its task counts as waiting again. */
  recordLostGrant(owner: string): void {
    const demand = this.owners.get(owner);
    if (demand !== undefined && demand.grantsSent > 0) demand.grantsSent -= 1;
  }

  /** Owners with demand on record, including departed ones. */
  get knownOwners(): readonly string[] {
    return [...this.owners.keys()];
  }

  /** Returns the claim to serve next, ignoring the `skipped` owners. */
  nextClaim(now: Millis, skipped: ReadonlySet<string>): Claim | undefined {
    let best: Claim | undefined;
    let bestTime = Infinity;
    for (const [owner, demand] of this.owners) {
      if (skipped.has(owner)) continue;
      for (const [team, {waiting, oldestAt}] of demand.teams) {
        if (waiting <= 0) continue;
        const time = this.virtualTimeOf(team);
        const waitedMs = now - oldestAt;
        const isLonger = waitedMs > (best?.waitedMs ?? -Infinity);
        if (time > bestTime || (time === bestTime && !isLonger)) continue;
        best = {owner, team, needs: demand.needs, waitedMs};
        bestTime = time;
      }
    }
    return best;
  }

  /** Records a grant and charges the claim's team for it. */
  recordGrant(
    claim: Claim,
    needs: Resources | undefined,
    weights: TeamWeights,
  ): void {
    const demand = this.getOrCreate(claim.owner);
    demand.grantsSent += 1;
    demand.unacknowledged.push(claim.team);
    demand.needs = withoutFirst(demand.needs, needs);
    this.removeOldest(demand, claim.team);
    const start = this.virtualTimeOf(claim.team);
    const weight = weights[claim.team] ?? DEFAULT_WEIGHT;
    this.virtualTime = start;
    this.virtualTimes.set(claim.team, start + 1 / weight);
    if (this.virtualTimes.size > MAX_TRACKED_TEAMS) this.pruneVirtualTimes();
  }

  /**
   * Removes the oldest waiting task of a team. Owners report only their oldest
   * wait, so arrivals are assumed to be evenly spread from then to the report.
   */
  private removeOldest(demand: OwnerDemand, team: string): void {
    const teamDemand = demand.teams.get(team);
    if (teamDemand === undefined || teamDemand.waiting <= 0) return;
    const spreadMs = Math.max(demand.updatedAt - teamDemand.oldestAt, 0);
    teamDemand.oldestAt += spreadMs / teamDemand.waiting;
    teamDemand.waiting -= 1;
    this.waitingTotal -= 1;
    if (teamDemand.waiting === 0) demand.teams.delete(team);
  }

  private clearTeams(demand: OwnerDemand): void {
    for (const {waiting} of demand.teams.values()) this.waitingTotal -= waiting;
    demand.teams.clear();
  }

  private virtualTimeOf(team: string): number {
    return Math.max(this.virtualTimes.get(team) ?? 0, this.virtualTime);
  }

  private getOrCreate(owner: string): OwnerDemand {
    const known = this.owners.get(owner);
    if (known !== undefined) return known;
    const added = {
      teams: new Map<string, TeamDemand>(),
      needs: [],
      updatedAt: 0,
      grantsSent: 0,
      unacknowledged: [],
    };
    this.owners.set(owner, added);
    return added;
  }

  private pruneVirtualTimes(): void {
    for (const [team, time] of this.virtualTimes) {
      if (time <= this.virtualTime) this.virtualTimes.delete(team);
    }
  }
}

function lastOf(list: string[], count: number): string[] {
  return count > 0 ? list.slice(-count) : [];
}

/**
 * Removes the first occurrence only: several tasks may share one needs object,
 * and just one of them was granted.
 */
function withoutFirst(
  list: readonly Resources[],
  needs: Resources | undefined,
): readonly Resources[] {
  const index = needs === undefined ? -1 : list.indexOf(needs);
  return index < 0 ? list : [...list.slice(0, index), ...list.slice(index + 1)];
}
