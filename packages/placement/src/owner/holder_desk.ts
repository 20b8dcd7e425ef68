/** What this owner and one holder know of each other's business in one pool. */
import type {Prospect} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';

/** What a holder in another zone has to save, for the way there and back. */
const TRIP_MS = 5;
/** A demand is answered sooner than this, or its holder may be frozen. */
const ANSWER_MS = 100;
/** A holder with a standing demand is heard of within this. */
const WORD_MS = 2_000;
/** What a holder said counts no longer after this. */
const STALE_MS = 3_000;
/** What each task costs the next one at a holder that was never heard. */
const UNHEARD_EVERY_MS = 10;
/** A holder that did not answer is asked again after this long. */
const SILENT_MS = 500;

/** One holder of servers of one pool. */
export class HolderDesk {
  /** Waiting tasks that this holder is to find a slot for. */
  wanted = 0;
  /** Waiting tasks that it was told of and has not granted. */
  told = 0;
  /** Waiting tasks whose needs it was told and has not granted. */
  toldNeeds = 0;
  /** Grants that came from it. */
  received = 0;
  /** Since when a demand to it is under way. */
  askedAt: Millis | undefined;
  /** Demands that brought nothing so far. */
  vain = 0;
  private waitMs: Millis = 0;
  private everyMs: Millis = UNHEARD_EVERY_MS;
  private speed = 1;
  private heardAt: Millis = -Infinity;
  private toldAt: Millis = -Infinity;
  private silentUntil: Millis = 0;

  constructor(
    readonly holder: string,
    readonly isNear: boolean,
  ) {}

  /** What one more task may expect there. */
  hear({waitMs, everyMs, speed}: Prospect, now: Millis): void {
    this.heardAt = now;
    this.waitMs = waitMs;
    this.everyMs = everyMs;
    this.speed = speed;
  }

  /** When one more task of `runMs` at mean speed would end there. */
  finishMs(runMs: Millis, now: Millis): Millis {
    const tripMs = this.isNear ? 0 : TRIP_MS;
    // An old bad word would keep it from ever being asked again; but what is
    // wanted of it counts, or a burst would all be left to the nearest one.
    const isStale = now - this.heardAt > STALE_MS;
    const waitMs = isStale ? this.wanted * this.everyMs : this.waitMs;
    return waitMs + runMs / this.speed + tripMs;
  }

  /** One more task is wanted of it. */
  want(): void {
    this.wanted += 1;
    // Until the next answer, each task makes the next one wait longer.
    this.waitMs += this.everyMs;
  }

  /** A grant came. */
  receive(): void {
    this.received += 1;
    this.wanted = Math.max(this.wanted - 1, 0);
    this.told = Math.max(this.told - 1, 0);
    this.toldNeeds = Math.max(this.toldNeeds - 1, 0);
    this.vain = 0;
  }

  /** Whether a demand to it is under way. */
  get asking(): boolean {
    return this.askedAt !== undefined;
  }

  /** It is told of all that is wanted of it. */
  tell(now: Millis): void {
    this.told = this.wanted;
    this.toldAt = now;
  }

  /** Whether it is overdue with an answer, or with any word on its demand. */
  isSilent(now: Millis): boolean {
    if (now < this.silentUntil) return true;
    if (this.askedAt !== undefined) return now - this.askedAt > ANSWER_MS;
    if (this.told === 0) return false;
    return now - Math.max(this.heardAt, this.toldAt) > WORD_MS;
  }

  /** It did not answer. */
  fail(now: Millis): void {
    this.wanted = 0;
    this.told = 0;
    this.silentUntil = now + SILENT_MS;
  }
}
