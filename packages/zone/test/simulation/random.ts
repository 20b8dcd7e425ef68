/** Random choices that are reproducible from a seed. */

/** A seeded random number generator (mulberry32). */
export class Random {
  constructor(private state: number) {}

  /** A number from 0 inclusive to 1 exclusive. */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    const {state} = this;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** A number from `low` inclusive to `high` exclusive. */
  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  /** An integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number {
    return Math.floor(this.between(low, high + 1));
  }

  /** True with the probability `share`. */
  chance(share: number): boolean {
    return this.next() < share;
  }

  /** A random item. */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }

  /** A string of this many random hexadecimal digits. */
  hex(digits: number): string {
    let text = '';
    while (text.length < digits) text += this.integer(0, 15).toString(16);
    return text;
  }

  /** Another generator, so that the draws of one part don't affect another. */
  fork(): Random {
    return new Random(Math.floor(this.next() * 2 ** 32));
  }
}
