/** A FIFO line whose places can be left from the middle in O(1). */

/** One place in a line; keep it to leave the line. */
export interface Place<Item> {
  readonly item: Item;
  readonly team: string;
  before: Place<Item> | undefined;
  after: Place<Item> | undefined;
  /** Whether it stands in a line. Kept by the line. */
  inLine: boolean;
}

/** A doubly linked list of places. */
export class Line<Item> {
  private head: Place<Item> | undefined;
  private tail: Place<Item> | undefined;
  private length = 0;

  /** Places in the line. */
  get size(): number {
    return this.length;
  }

  /** The first place. */
  get first(): Place<Item> | undefined {
    return this.head;
  }

  /** Joins at the end. */
  append(place: Place<Item>): void {
    place.before = this.tail;
    place.after = undefined;
    if (this.tail === undefined) this.head = place;
    else this.tail.after = place;
    this.tail = place;
    place.inLine = true;
    this.length += 1;
  }

  /** Joins at the front. */
  prepend(place: Place<Item>): void {
    place.before = undefined;
    place.after = this.head;
    if (this.head === undefined) this.tail = place;
    else this.head.before = place;
    this.head = place;
    place.inLine = true;
    this.length += 1;
  }

  /** Leaves the line. */
  remove(place: Place<Item>): void {
    if (place.before === undefined) this.head = place.after;
    else place.before.after = place.after;
    if (place.after === undefined) this.tail = place.before;
    else place.after.before = place.before;
    place.before = undefined;
    place.after = undefined;
    place.inLine = false;
    this.length -= 1;
  }
}
