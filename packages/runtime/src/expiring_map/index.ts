/** A map that forgets its entries. */
import type {Millis} from '../clock/index.js';

interface Entry<Value> {
  readonly value: Value;
  readonly until: Millis;
}

/** Keeps each entry for a fixed time after it was last set. */
export class ExpiringMap<Key, Value> {
  /** An entry that is set later expires later and stands further back. */
  private readonly entries = new Map<Key, Entry<Value>>();

  /** With more than `maxSize` entries the oldest are forgotten early. */
  constructor(
    private readonly retentionMs: Millis,
    private readonly maxSize = Infinity,
  ) {}

  /** Returns the value of a key; undefined if none is set or it has expired. */
  get(key: Key, now: Millis): Value | undefined {
    const entry = this.entries.get(key);
    return entry !== undefined && now < entry.until ? entry.value : undefined;
  }

  /** Sets the value of a key, and removes what has expired. */
  set(key: Key, value: Value, now: Millis): void {
    this.entries.delete(key);
    this.entries.set(key, {value, until: now + this.retentionMs});
    for (const [oldest, {until}] of this.entries) {
      if (now < until && this.entries.size <= this.maxSize) return;
      this.entries.delete(oldest);
    }
  }

  /** Removes a key. */
  delete(key: Key): void {
    this.entries.delete(key);
  }
}
