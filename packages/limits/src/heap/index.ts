/** A binary heap whose entries can be moved and removed in O(log n). */

/** One entry of a heap; keep it to move or remove the entry. */
export interface HeapEntry<Item> {
  readonly item: Item;
  priority: number;
  /** Position in the heap, -1 when it is not in it. Kept by the heap. */
  index: number;
}

/** Gives the entry of the lowest priority first. */
export class Heap<Item> {
  private readonly entries: Array<HeapEntry<Item>> = [];

  /** Entries in the heap. */
  get size(): number {
    return this.entries.length;
  }

  /** Adds an item. */
  push(item: Item, priority: number): HeapEntry<Item> {
    const entry = {item, priority, index: this.entries.length};
    this.entries.push(entry);
    this.moveUp(entry);
    return entry;
  }

  /** The entry of the lowest priority; it stays in. */
  peek(): HeapEntry<Item> | undefined {
    return this.entries[0];
  }

  /** Takes out the entry of the lowest priority. */
  pop(): HeapEntry<Item> | undefined {
    const first = this.entries[0];
    if (first !== undefined) this.remove(first);
    return first;
  }

  /** Gives an entry another priority. */
  move(entry: HeapEntry<Item>, priority: number): void {
    const rises = priority < entry.priority;
    entry.priority = priority;
    if (entry.index < 0) return;
    if (rises) this.moveUp(entry);
    else this.moveDown(entry);
  }

  /** Takes out an entry; nothing happens when it is out already. */
  remove(entry: HeapEntry<Item>): void {
    if (entry.index < 0) return;
    const hole = entry.index;
    const last = this.entries.pop();
    entry.index = -1;
    if (last === undefined || last === entry) return;
    this.put(last, hole);
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
      let least = entry;
      if (left !== undefined && left.priority < least.priority) least = left;
      if (right !== undefined && right.priority < least.priority) least = right;
      if (least === entry) return;
      this.swap(entry, least);
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
