/** A binary heap whose entries can be moved and removed in O(log n). */

/** An entry of a heap. Serves as the handle for moving or removing it. */
export interface HeapEntry<Item> {
  readonly item: Item;
  priority: number;
  /** Position in the heap, or -1 after removal. Maintained by the heap. */
  index: number;
}

/** A min-heap: the entry with the lowest priority value comes first. */
export class Heap<Item> {
  private readonly entries: Array<HeapEntry<Item>> = [];

  /** Number of entries. */
  get size(): number {
    return this.entries.length;
  }

  /** Adds an item and returns its entry. */
  push(item: Item, priority: number): HeapEntry<Item> {
    const entry = {item, priority, index: this.entries.length};
    this.entries.push(entry);
    this.moveUp(entry);
    return entry;
  }

  /** The entry with the lowest priority, without removing it. */
  peek(): HeapEntry<Item> | undefined {
    return this.entries[0];
  }

  /** Removes and returns the entry with the lowest priority. */
  pop(): HeapEntry<Item> | undefined {
    const first = this.entries[0];
    if (first !== undefined) this.remove(first);
    return first;
  }

  /** Changes the priority of an entry. */
  updatePriority(entry: HeapEntry<Item>, priority: number): void {
    const isLower = priority < entry.priority;
    entry.priority = priority;
    if (entry.index < 0) return;
    if (isLower) this.moveUp(entry);
    else this.moveDown(entry);
  }

  /** Removes an entry; does nothing if it was already removed. */
  remove(entry: HeapEntry<Item>): void {
    if (entry.index < 0) return;
    const vacatedIndex = entry.index;
    const last = this.entries.pop();
    entry.index = -1;
    if (last === undefined || last === entry) return;
    this.put(last, vacatedIndex);
    this.moveUp(last);
    this.moveDown(last);
  }

  private moveUp(entry: HeapEntry<Item>): void {
    while (entry.index > 0) {
      const parent = this.entries[(entry.index - 1) >> 1];
      if (parent === undefined || parent.priority <= entry.priority) return;
      this.swap(parent, entry);
    }
  }

  private moveDown(entry: HeapEntry<Item>): void {
    for (;;) {
      const left = this.entries[2 * entry.index + 1];
      const right = this.entries[2 * entry.index + 2];
      let min = entry;
      if (left !== undefined && left.priority < min.priority) min = left;
      if (right !== undefined && right.priority < min.priority) min = right;
      if (min === entry) return;
      this.swap(entry, min);
    }
  }

  private swap(a: HeapEntry<Item>, b: HeapEntry<Item>): void {
    const index = a.index;
    this.put(a, b.index);
    this.put(b, index);
  }

  private put(entry: HeapEntry<Item>, index: number): void {
    entry.index = index;
    this.entries[index] = entry;
  }
}
