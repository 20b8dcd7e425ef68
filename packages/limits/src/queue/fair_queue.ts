/**
 * Weighted fair queueing between teams, FIFO inside a team. Each team's work
 * advances its own virtual time by cost over weight; the team that is furthest
 * behind goes first. A team that was idle starts at the present virtual time,
 * so that idleness earns no credit, nor does it wipe out what was had before.
 */
import {Heap, type HeapEntry} from '../heap/index.js';
import {Line, type Place} from './line.js';

const DEFAULT_WEIGHT = 1;

/** A team's weight relative to the others; 1 where none is set. */
export type TeamWeights = Readonly<Record<string, number>>;

/** Teams whose past is remembered while they do not wait. */
const MAX_REMEMBERED_TEAMS = 1024;

interface TeamLine<Item> {
  readonly line: Line<Item>;
  /** The team among those that wait, by virtual time. */
  readonly rank: HeapEntry<string>;
}

/** Tasks that wait, shared out fairly between teams. */
export class FairQueue<Item> {
  private readonly teams = new Map<string, TeamLine<Item>>();
  private readonly order = new Heap<string>();
  /** Virtual times of teams that stopped waiting ahead of the present one. */
  private readonly ahead = new Map<string, number>();
  private virtualTime = 0;
  private length = 0;

  /** Items that wait. */
  get size(): number {
    return this.length;
  }

  /** The teams with items that wait. */
  get waitingTeams(): Iterable<string> {
    return this.teams.keys();
  }

  /** Items of one team that wait. */
  sizeOf(team: string): number {
    return this.teams.get(team)?.line.size ?? 0;
  }

  /** Adds an item at the end of its team's line. */
  push(team: string, item: Item): Place<Item> {
    const place: Place<Item> = {
      item,
      team,
      before: undefined,
      after: undefined,
      inLine: false,
    };
    this.lineOf(team).append(place);
    this.length += 1;
    return place;
  }

  /** Puts an item that was taken back at the front of its team's line. */
  putBack(place: Place<Item>): void {
    this.lineOf(place.team).prepend(place);
    this.length += 1;
  }

  /** Takes a certain item, charging its team as `take` does. */
  takePlace(place: Place<Item>, weights: TeamWeights, cost: number): boolean {
    const team = this.teams.get(place.team);
    if (team === undefined || !place.inLine) return false;
    this.charge(place.team, team, weights, cost);
    return this.remove(place);
  }

  /** Takes an item out from anywhere; false when it no longer waits. */
  remove(place: Place<Item>): boolean {
    const team = this.teams.get(place.team);
    if (team === undefined || !place.inLine) return false;
    team.line.remove(place);
    this.length -= 1;
    if (team.line.size === 0) this.forget(place.team, team);
    return true;
  }

  /** The first item of a team; it stays in. */
  peekOf(team: string): Item | undefined {
    return this.teams.get(team)?.line.first?.item;
  }

  /** About the first `limit` items, some of each team; they stay in. */
  firstItems(limit: number): Item[] {
    const perTeam = Math.ceil(limit / Math.max(this.teams.size, 1));
    const items: Item[] = [];
    for (const {line} of this.teams.values()) {
      let place = line.first;
      for (let i = 0; i < perTeam && place !== undefined; i += 1) {
        items.push(place.item);
        place = place.after;
      }
      if (items.length >= limit) break;
    }
    return items;
  }

  /** The item whose turn it is; it stays in. */
  peek(): Item | undefined {
    const team = this.order.peek()?.item;
    return team === undefined ? undefined : this.peekOf(team);
  }

  /**
   * Takes the item whose turn it is, or that of `preferred` when that team
   * waits. `cost` is what the item is charged with, in any one unit.
   */
  take(
    weights: TeamWeights,
    cost: number,
    preferred?: string,
  ): Place<Item> | undefined {
    const name = this.whoseTurn(preferred);
    const team = name === undefined ? undefined : this.teams.get(name);
    const place = team?.line.first;
    if (team === undefined || place === undefined) return undefined;
    this.charge(place.team, team, weights, cost);
    this.remove(place);
    return place;
  }

  private charge(
    name: string,
    team: TeamLine<Item>,
    weights: TeamWeights,
    cost: number,
  ): void {
    this.virtualTime = this.order.peek()?.priority ?? this.virtualTime;
    const weight = weights[name] ?? DEFAULT_WEIGHT;
    this.order.move(team.rank, team.rank.priority + cost / weight);
  }

  private whoseTurn(preferred: string | undefined): string | undefined {
    if (preferred !== undefined && this.teams.has(preferred)) return preferred;
    return this.order.peek()?.item;
  }

  private lineOf(team: string): Line<Item> {
    const known = this.teams.get(team);
    if (known !== undefined) return known.line;
    const start = Math.max(this.virtualTime, this.ahead.get(team) ?? 0);
    this.ahead.delete(team);
    const added = {line: new Line<Item>(), rank: this.order.push(team, start)};
    this.teams.set(team, added);
    return added.line;
  }

  private forget(name: string, team: TeamLine<Item>): void {
    this.teams.delete(name);
    this.order.remove(team.rank);
    if (team.rank.priority <= this.virtualTime) return;
    this.ahead.set(name, team.rank.priority);
    if (this.ahead.size > MAX_REMEMBERED_TEAMS) this.forgetPast();
  }

  private forgetPast(): void {
    for (const [team, time] of this.ahead) {
      if (time <= this.virtualTime) this.ahead.delete(team);
    }
  }
}
