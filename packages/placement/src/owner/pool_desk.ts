/**
 * Which holder finds a slot for which part of a queue. Each waiting task is
 * wanted from one holder at a time, the one where it waits least: asked of
 * several, it would bring grants that have to go back.
 */
import type {PoolDemand} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../fit/index.js';
import {HolderDesk} from './holder_desk.js';
import type {PoolQueue} from './pool_queue.js';

/** Moving a task has to save at least this much. */
const LEAST_SAVED_MS = 30;
/** A task that waited this long may be wanted from another holder instead. */
const REBALANCE_MS = 20;
/** A task with needs that waited this long is tried at every holder. */
const STUCK_MS = 500;
/** Tasks whose needs are told to a holder. */
const MOST_NEEDS = 16;

/** Asks the holders of one pool. */
export class PoolDesk {
  private rebalancedAt: Millis = 0;
  private readonly desks = new Map<string, HolderDesk>();

  constructor(
    readonly queue: PoolQueue,
    private readonly needsOf: (queue: PoolQueue, limit: number) => Resources[],
  ) {}

  /** Takes up who holds servers of the pool now, and whether nearby. */
  refresh(holders: ReadonlyMap<string, boolean>): void {
    for (const holder of this.desks.keys()) {
      if (!holders.has(holder)) this.desks.delete(holder);
    }
    for (const [holder, isNear] of holders) {
      if (this.desks.get(holder)?.isNear === isNear) continue;
      this.desks.set(holder, new HolderDesk(holder, isNear));
    }
  }

  /** The desk of one holder. */
  deskOf(holder: string): HolderDesk | undefined {
    return this.desks.get(holder);
  }

  /** Shares the waiting tasks out between the holders. */
  share(now: Millis): void {
    let wanted = 0;
    for (const desk of this.desks.values()) wanted += desk.wanted;
    const missing = this.queue.waiting - wanted;
    if (missing < 0) return this.takeBack(-missing);
    if (missing === 0) return this.rebalance(now);
    for (let i = 0; i < missing; i += 1) this.soonest(now)?.want();
  }

  /** Holders that should be told, each of which is open to a message. */
  toTell(): HolderDesk[] {
    const hasNeeds = this.hasNeeds;
    return [...this.desks.values()].filter(
      desk =>
        !desk.asking &&
        (desk.wanted > desk.told || (hasNeeds && lacksNeeds(desk))),
    );
  }

  /** Whether time alone may change what is wanted of whom. */
  get isWaiting(): boolean {
    return this.queue.waiting > 0;
  }

  /** The demand as one holder is told of it. */
  demandFor(desk: HolderDesk, now: Millis): PoolDemand {
    const {queue} = this.queue;
    let passed = 0;
    let given = 0;
    const teams = [];
    for (const team of queue.waitingTeams) {
      passed += queue.sizeOf(team);
      // Each team's part in proportion, rounded so that the sum is right.
      const due = Math.round((passed * desk.wanted) / queue.size);
      const waiting = due - given;
      given = due;
      if (waiting === 0) continue;
      const oldestMs = this.queue.oldestOf(team, now);
      teams.push({team, waiting, oldestMs});
    }
    const needs = this.needsOf(this.queue, Math.min(desk.wanted, MOST_NEEDS));
    desk.toldNeeds = needs.length;
    return {
      pool: this.queue.pool,
      teams,
      needs,
      received: desk.received,
    };
  }

  /** The holder where one more task would end first. */
  private soonest(now: Millis): HolderDesk | undefined {
    let best: HolderDesk | undefined;
    let bestMs = Infinity;
    for (const desk of this.desks.values()) {
      if (desk.isSilent(now)) continue;
      const finishMs = desk.finishMs(this.queue.meanRunMs, now);
      if (finishMs >= bestMs) continue;
      best = desk;
      bestMs = finishMs;
    }
    return best;
  }

  /** Moves a task that waited long to a holder where it would end sooner. */
  private rebalance(now: Millis): void {
    if (this.queue.oldestMs(now) < REBALANCE_MS) return;
    if (now - this.rebalancedAt < REBALANCE_MS) return;
    this.rebalancedAt = now;
    if (this.isStuck(now)) return this.tryElsewhere(now);
    const best = this.soonest(now);
    if (best === undefined || best.asking) return;
    const bestMs = best.finishMs(this.queue.meanRunMs, now);
    for (const desk of this.desks.values()) {
      if (desk === best || desk.wanted === 0) continue;
      if (desk.isSilent(now)) {
        moveAll(desk, best);
        continue;
      }
      const savedMs = desk.finishMs(this.queue.meanRunMs, now) - bestMs;
      if (savedMs < LEAST_SAVED_MS) continue;
      desk.wanted -= 1;
      best.want();
    }
  }

  /** Whether the tasks are for workers. */
  private get hasNeeds(): boolean {
    return this.needsOf(this.queue, 1).length > 0;
  }

  /** Prospects tell of small tasks; large needs may not fit there at all. */
  private isStuck(now: Millis): boolean {
    return this.hasNeeds && this.queue.oldestMs(now) >= STUCK_MS;
  }

  /** Moves one task from the holder that most is wanted of to the least. */
  private tryElsewhere(now: Millis): void {
    const desks = [...this.desks.values()]
      .filter(desk => !desk.isSilent(now) && !desk.asking)
      .sort((a, b) => a.wanted - b.wanted);
    const [least] = desks;
    const most = desks.at(-1);
    if (least === undefined || most === undefined) return;
    if (least === most || most.wanted === 0) return;
    most.wanted -= 1;
    least.want();
  }

  private takeBack(surplus: number): void {
    let left = surplus;
    for (const desk of this.desks.values()) {
      const taken = Math.min(desk.wanted, left);
      desk.wanted -= taken;
      left -= taken;
    }
  }
}

/** A silent holder may be frozen or cut off: nothing is left to it. */
function moveAll(from: HolderDesk, to: HolderDesk): void {
  for (; from.wanted > 0; from.wanted -= 1) to.want();
}

/** All the needs it was told of are granted, and more tasks wait. */
function lacksNeeds(desk: HolderDesk): boolean {
  return desk.wanted > 0 && desk.toldNeeds === 0;
}
