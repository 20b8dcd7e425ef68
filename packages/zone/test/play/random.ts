/** Random choices that repeat for a seed. */

/** A generator of random numbers that repeats for a seed (mulberry32). */
export class Random {
  constructor(private state: number) {}

  /** A number from 0 up to 1. */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    const {state} = this;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** A number from `low` up to `high`. */
  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  /** A whole number from `low` to `high`, both included. */
  whole(low: number, high: number): number {
    return Math.floor(this.between(low, high + 1));
  }

  /** True for this share of the calls. */
  chance(share: number): boolean {
    return this.next() < share;
  }

  /** One of the items. */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.whole(0, items.length - 1)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }

  /** So many hexadecimal digits. */
  hex(digits: number): string {
    let text = '';
    while (text.length < digits) text += this.whole(0, 15).toString(16);
    return text;
  }

  /** Another generator, so that one part's draws don't shift another's. */
  fork(): Random {
    return new Random(Math.floor(this.next() * 2 ** 32));
  }
}
