/** What this owner and one holder know of each other's business in one pool. */
import type {Millis} from '@goldcrestpier/runtime';

/** A holder that did not answer is asked again after this long. */
const SILENT_MS = 500;

/** One holder of servers of one pool. */
export class HolderDesk {
  /** Tasks that the holder believes to wait here. */
  believed = 0;
  /** Grants that came from it. */
  received = 0;
  /** Whether a demand to it is under way. */
  asking = false;
  /** When it was last told. */
  toldAt: Millis = -Infinity;
  /** Demands that brought nothing so far. */
  vain = 0;
  private silentUntil: Millis = 0;

  constructor(
    readonly holder: string,
    readonly isNear: boolean,
  ) {}

  /** A grant came. */
  receive(): void {
    this.received += 1;
    this.believed = Math.max(this.believed - 1, 0);
    this.vain = 0;
  }

  /** It was told that `waiting` tasks wait here. */
  tell(waiting: number, now: Millis): void {
    this.believed = waiting;
    this.toldAt = now;
  }

  /** It did not answer. */
  fail(now: Millis): void {
    this.believed = 0;
    this.silentUntil = now + SILENT_MS;
  }

  /** Whether it can be asked. */
  isOpen(now: Millis): boolean {
    return !this.asking && now >= this.silentUntil;
  }
}
