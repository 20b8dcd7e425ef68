/**
 * Which holders of one pool are asked, and when. The own zone's come first.
 * A holder that had nothing keeps the demand, and grants when a slot comes
 * free; later changes ride on settlements wherever one goes there anyway.
 */
import type {PoolDemand} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../fit/index.js';
import {HolderDesk} from './holder_desk.js';
import type {PoolQueue} from './pool_queue.js';

/** A task that waited this long is worth asking in other zones for. */
const SPREAD_MS = 5;
/** A holder with a standing demand hears of more tasks after this long. */
const UPDATE_MS = 25;
/** Tasks whose needs are told to a holder. */
const MOST_NEEDS = 16;

/** One holder to be told, and why. */
export interface Errand {
  readonly desk: HolderDesk;
  readonly isWithdrawal: boolean;
}

/** Asks the holders of one pool. */
export class PoolDesk {
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

  /** The next holder to be told something; undefined when all is said. */
  nextErrand(
    spareOf: (holder: string) => number,
    now: Millis,
  ): Errand | undefined {
    const desks = [...this.desks.values()];
    const waiting = this.queue.waiting;
    if (waiting === 0) return withdraw(desks, now);
    const near = desks.filter(desk => desk.isNear);
    // One question at a time: its answer may make the next one needless.
    if (near.some(desk => desk.asking)) {
      // ...unless it takes its time: it may be frozen or cut off.
      return this.hasWaited(now) ? this.spread(desks, spareOf, now) : undefined;
    }
    const unaware = near.find(desk => desk.isOpen(now) && desk.believed === 0);
    if (unaware !== undefined) return ask(unaware);
    return this.spread(desks, spareOf, now) ?? this.update(desks, now);
  }

  /** How long until `nextErrand` may have something new. */
  reviewMs(): Millis | undefined {
    return this.queue.waiting > 0 ? SPREAD_MS : undefined;
  }

  /** The demand as one holder is told of it. */
  demandFor(desk: HolderDesk, now: Millis): PoolDemand {
    const {queue} = this.queue;
    const teams = [...queue.waitingTeams].map(team => ({
      team,
      waiting: queue.sizeOf(team),
      oldestMs: this.queue.oldestOf(team, now),
    }));
    return {
      pool: this.queue.pool,
      teams,
      needs: this.needsOf(this.queue, MOST_NEEDS),
      received: desk.received,
    };
  }

  private spread(
    desks: readonly HolderDesk[],
    spareOf: (holder: string) => number,
    now: Millis,
  ): Errand | undefined {
    const far = desks.filter(desk => !desk.isNear);
    if (far.some(desk => desk.asking)) return undefined;
    const unaware = far.filter(desk => desk.isOpen(now) && desk.believed === 0);
    if (unaware.length === 0) return undefined;
    const isAlone = !desks.some(desk => desk.isNear && desk.isOpen(now));
    const [best] = unaware.sort(
      (a, b) => spareOf(b.holder) - spareOf(a.holder),
    );
    if (best === undefined) return undefined;
    const isWorth = this.hasWaited(now) || isAlone || spareOf(best.holder) > 0;
    return isWorth ? ask(best) : undefined;
  }

  private hasWaited(now: Millis): boolean {
    return this.queue.oldestMs(now) >= SPREAD_MS;
  }

  private update(
    desks: readonly HolderDesk[],
    now: Millis,
  ): Errand | undefined {
    const stale = desks.find(
      desk =>
        desk.isOpen(now) &&
        desk.believed > 0 &&
        desk.believed < this.queue.waiting &&
        now - desk.toldAt >= UPDATE_MS,
    );
    return stale === undefined ? undefined : ask(stale);
  }
}

function ask(desk: HolderDesk): Errand {
  return {desk, isWithdrawal: false};
}

function withdraw(
  desks: readonly HolderDesk[],
  now: Millis,
): Errand | undefined {
  const aware = desks.find(desk => desk.isOpen(now) && desk.believed > 0);
  return aware === undefined ? undefined : {desk: aware, isWithdrawal: true};
}
