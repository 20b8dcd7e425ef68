/**
 * Weighted fair queueing between teams, with FIFO order within a team. Each
 * item taken advances its team's virtual time by cost divided by weight; the
 * team with the lowest virtual time is served next. A team that was idle
 * resumes at the current virtual time, or at its own if that is later, so
 * idling neither earns credit nor cancels earlier charges.
 */
import {Heap, type HeapEntry} from '../heap/index.js';
import {LinkedList, type QueueEntry} from './linked_list.js';

const DEFAULT_WEIGHT = 1;

/** Relative weights by team; teams without an entry have weight 1. */
export type TeamWeights = Readonly<Record<string, number>>;

/** Number of saved virtual times above which outdated ones are pruned. */
const MAX_SAVED_TEAMS = 1024;

interface TeamQueue<Item> {
  readonly entries: LinkedList<Item>;
  /** The team's entry in the heap; its priority is the virtual time. */
  readonly heapEntry: HeapEntry<string>;
}

/** A queue that serves teams in proportion to their weights. */
export class FairQueue<Item> {
  private readonly teams = new Map<string, TeamQueue<Item>>();
  private readonly teamHeap = new Heap<string>();
  /** Virtual times of idle teams that are later than the current one. */
  private readonly savedVirtualTimes = new Map<string, number>();
  private virtualTime = 0;
  private length = 0;

  /** Number of queued items. */
  get size(): number {
    return this.length;
  }

  /** The teams that have queued items. */
  get waitingTeams(): Iterable<string> {
    return this.teams.keys();
  }

  /** Number of queued items of one team. */
  sizeOf(team: string): number {
    return this.teams.get(team)?.entries.size ?? 0;
  }

  /** Adds an item at the end of its team's queue. */
  push(team: string, item: Item): QueueEntry<Item> {
    const entry: QueueEntry<Item> = {
      item,
      team,
      previous: undefined,
      next: undefined,
      isQueued: false,
    };
    this.getTeamEntries(team).append(entry);
    this.length += 1;
    return entry;
  }

  /** Returns a taken entry to the front of its team's queue. */
  requeue(entry: QueueEntry<Item>): void {
    this.getTeamEntries(entry.team).prepend(entry);
    this.length += 1;
  }

  /** Removes an entry and charges its team; false if it is not queued. */
  takeEntry(
    entry: QueueEntry<Item>,
    weights: TeamWeights,
    cost: number,
  ): boolean {
    const team = this.teams.get(entry.team);
    if (team === undefined || !entry.isQueued) return false;
    this.charge(entry.team, team, weights, cost);
    return this.remove(entry);
  }

  /** Removes an entry without a charge; false if it is not queued. */
  remove(entry: QueueEntry<Item>): boolean {
    const team = this.teams.get(entry.team);
    if (team === undefined || !entry.isQueued) return false;
    team.entries.remove(entry);
    this.length -= 1;
    if (team.entries.size === 0) this.removeTeam(entry.team, team);
    return true;
  }

  /** The first item of a team, without removing it. */
  peekTeam(team: string): Item | undefined {
    return this.teams.get(team)?.entries.first?.item;
  }

  /** About `limit` items from the fronts of all teams' queues, not removed. */
  firstItems(limit: number): Item[] {
    const perTeam = Math.ceil(limit / Math.max(this.teams.size, 1));
    const items: Item[] = [];
    for (const {entries} of this.teams.values()) {
      let entry = entries.first;
      for (let i = 0; i < perTeam && entry !== undefined; i += 1) {
        items.push(entry.item);
        entry = entry.next;
      }
      if (items.length >= limit) break;
    }
    return items;
  }

  /** The item to be served next, without removing it. */
  peek(): Item | undefined {
    const team = this.teamHeap.peek()?.item;
    return team === undefined ? undefined : this.peekTeam(team);
  }

  /**
   * Removes the item to be served next, or the first one of team `preferred`
   * if that team has any, and charges `cost` to its team. The unit of `cost` is
   * arbitrary but must be the same for all items.
   */
  take(
    weights: TeamWeights,
    cost: number,
    preferred?: string,
  ): QueueEntry<Item> | undefined {
    const name = this.selectTeam(preferred);
    const team = name === undefined ? undefined : this.teams.get(name);
    const entry = team?.entries.first;
    if (team === undefined || entry === undefined) return undefined;
    this.charge(entry.team, team, weights, cost);
    this.remove(entry);
    return entry;
  }

  private charge(
    name: string,
    team: TeamQueue<Item>,
    weights: TeamWeights,
    cost: number,
  ): void {
    this.virtualTime = this.teamHeap.peek()?.priority ?? this.virtualTime;
    const weight = weights[name] ?? DEFAULT_WEIGHT;
    this.teamHeap.updatePriority(
      team.heapEntry,
      team.heapEntry.priority + cost / weight,
    );
  }

  private selectTeam(preferred: string | undefined): string | undefined {
    if (preferred !== undefined && this.teams.has(preferred)) return preferred;
    return this.teamHeap.peek()?.item;
  }

  private getTeamEntries(team: string): LinkedList<Item> {
    const existing = this.teams.get(team);
    if (existing !== undefined) return existing.entries;
    const start = Math.max(
      this.virtualTime,
      this.savedVirtualTimes.get(team) ?? 0,
    );
    this.savedVirtualTimes.delete(team);
    const added = {
      entries: new LinkedList<Item>(),
      heapEntry: this.teamHeap.push(team, start),
    };
    this.teams.set(team, added);
    return added.entries;
  }

  private removeTeam(name: string, team: TeamQueue<Item>): void {
    this.teams.delete(name);
    this.teamHeap.remove(team.heapEntry);
    if (team.heapEntry.priority <= this.virtualTime) return;
    this.savedVirtualTimes.set(name, team.heapEntry.priority);
    if (this.savedVirtualTimes.size > MAX_SAVED_TEAMS) this.pruneVirtualTimes();
  }

  private pruneVirtualTimes(): void {
    for (const [team, time] of this.savedVirtualTimes) {
      if (time <= this.virtualTime) this.savedVirtualTimes.delete(team);
    }
  }
}
