/** Which ways are open between machines, workers, the store and callers. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Random} from './random.js';
import type {Scheduler} from './scheduler.js';

/** The store's end of its ways. */
export const STORE = 'store';
/** The callers' end of their ways. */
export const CALLERS = 'callers';

/** A set of ends of ways. */
export type Ends = (name: string) => boolean;

interface Disturbance {
  readonly from: Ends;
  readonly to: Ends;
  readonly until: Millis;
  /** Undefined where nothing passes; else the most that a message is late. */
  readonly delayMs: Millis | undefined;
}

const SHORTEST_MS = 0.2;
const USUAL_MS = 1.5;
/** Now and then a message needs so long. */
const LONG_MS = 12;
const LONG_SHARE = 0.02;
/** After a cut what was sent meanwhile is sent again within this time. */
const RESEND_MS = 300;

/** The share of what was sent that arrives though the sender gave up. */
const ARRIVES_ANYWAY = 0.5;

/** Ways, with what disturbs them at present. */
export class Network {
  private holdsMessages = false;
  private disturbances: Disturbance[] = [];

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: Random,
  ) {}

  /** Cuts all ways from some ends to others, one way. */
  cut(from: Ends, to: Ends, ms: Millis): void {
    this.disturb(from, to, ms, undefined);
  }

  /** Makes messages late. */
  delay(from: Ends, to: Ends, ms: Millis, delayMs: Millis): void {
    this.disturb(from, to, ms, delayMs);
  }

  /** From now on connections deliver some of what they held up. */
  holdMessages(): void {
    this.holdsMessages = true;
  }

  /** Whether a message of a connection that its sender ended still arrives. */
  arrivesAnyway(): boolean {
    return this.holdsMessages && this.random.chance(ARRIVES_ANYWAY);
  }

  /** Whether a message gets through at once. */
  isOpen(from: string, to: string): boolean {
    return this.opensAt(from, to) <= this.scheduler.now;
  }

  /** When a message that is sent now arrives. */
  arrivesAt(from: string, to: string): Millis {
    const {random} = this;
    const {now} = this.scheduler;
    const opensAt = this.opensAt(from, to);
    const again = opensAt > now ? random.between(0, RESEND_MS) : 0;
    const isLong = random.chance(LONG_SHARE);
    const usual = random.between(SHORTEST_MS, isLong ? LONG_MS : USUAL_MS);
    const most = this.mostDelay(from, to);
    return opensAt + again + usual + random.between(0, most);
  }

  private disturb(
    from: Ends,
    to: Ends,
    ms: Millis,
    delayMs: Millis | undefined,
  ): void {
    const until = this.scheduler.now + ms;
    this.disturbances.push({from, to, until, delayMs});
  }

  private opensAt(from: string, to: string): Millis {
    const {now} = this.scheduler;
    this.disturbances = this.disturbances.filter(({until}) => until > now);
    let opensAt = now;
    for (const cut of this.disturbances) {
      if (cut.delayMs !== undefined) continue;
      if (cut.from(from) && cut.to(to)) opensAt = Math.max(opensAt, cut.until);
    }
    return opensAt;
  }

  private mostDelay(from: string, to: string): Millis {
    let most = 0;
    for (const late of this.disturbances) {
      if (late.delayMs === undefined) continue;
      if (late.from(from) && late.to(to)) most = Math.max(most, late.delayMs);
    }
    return most;
  }
}
