/** The queue of one team: a list whose entries can be removed in O(1). */

/** A queued item. Serves as the handle for removing it. */
export interface QueueEntry<Item> {
  readonly item: Item;
  readonly team: string;
  previous: QueueEntry<Item> | undefined;
  next: QueueEntry<Item> | undefined;
  /** Whether the entry is in a list. Maintained by the list. */
  isQueued: boolean;
}

/** A doubly linked list of queue entries. */
export class LinkedList<Item> {
  private head: QueueEntry<Item> | undefined;
  private tail: QueueEntry<Item> | undefined;
  private length = 0;

  /** Number of entries. */
  get size(): number {
    return this.length;
  }

  /** The first entry; undefined if the list is empty. */
  get first(): QueueEntry<Item> | undefined {
    return this.head;
  }

  /** Adds an entry at the end. */
  append(entry: QueueEntry<Item>): void {
    entry.previous = this.tail;
    entry.next = undefined;
    if (this.tail === undefined) this.head = entry;
    else this.tail.next = entry;
    this.tail = entry;
    entry.isQueued = true;
    this.length += 1;
  }

  /** Adds an entry at the front. */
  prepend(entry: QueueEntry<Item>): void {
    entry.previous = undefined;
    entry.next = this.head;
    if (this.head === undefined) this.tail = entry;
    else this.head.previous = entry;
    this.head = entry;
    entry.isQueued = true;
    this.length += 1;
  }

  /** Removes an entry, which must be in this list. */
  remove(entry: QueueEntry<Item>): void {
    if (entry.previous === undefined) this.head = entry.next;
    else entry.previous.next = entry.next;
    if (entry.next === undefined) this.tail = entry.previous;
    else entry.next.previous = entry.previous;
    entry.previous = undefined;
    entry.next = undefined;
    entry.isQueued = false;
    this.length -= 1;
  }
}
