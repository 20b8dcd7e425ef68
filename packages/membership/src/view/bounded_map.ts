/** A map that forgets its oldest entries beyond a number of them. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  constructor(private readonly limit: number) {}

  /** How many entries there are. */
  get size(): number {
    return this.entries.size;
  }

  /** The value of `key`. */
  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  /** Whether `key` is known. */
  has(key: Key): boolean {
    return this.entries.has(key);
  }

  /** Sets the value of `key`, which keeps its place when it is known. */
  set(key: Key, value: Value): void {
    this.entries.set(key, value);
    if (this.entries.size <= this.limit) return;
    const oldest = this.entries.keys().next();
    if (!oldest.done) this.entries.delete(oldest.value);
  }

  /** Forgets `key`. */
  delete(key: Key): void {
    this.entries.delete(key);
  }

  /** All entries, the oldest first. */
  [Symbol.iterator](): IterableIterator<[Key, Value]> {
    return this.entries[Symbol.iterator]();
  }
}
