/** A map that evicts the entry inserted first once it exceeds its limit. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  constructor(private readonly limit: number) {}

  /** The number of entries. */
  get size(): number {
    return this.entries.size;
  }

  /** The value stored for `key`; undefined when there is none. */
  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  /** Whether the map holds an entry for `key`. */
  has(key: Key): boolean {
    return this.entries.has(key);
  }

  /** Sets the value of `key`; an existing key keeps its place in the order. */
  set(key: Key, value: Value): void {
    this.entries.set(key, value);
    if (this.entries.size <= this.limit) return;
    const oldest = this.entries.keys().next();
    if (!oldest.done) this.entries.delete(oldest.value);
  }

  /** Removes the entry of `key`, if any. */
  delete(key: Key): void {
    this.entries.delete(key);
  }

  /** Iterates over all entries in insertion order. */
  [Symbol.iterator](): IterableIterator<[Key, Value]> {
    return this.entries[Symbol.iterator]();
  }
}
