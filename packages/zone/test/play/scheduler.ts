/**
 * Simulated time. Every timer of the code that is played, and every message,
 * is an event of one queue; an event belongs to the played process that it runs
 * in. Promises are run to their end behind each event.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Events of one time run in this order, as in a turn of Node's event loop. */
export enum Phase {
  Timers,
  Messages,
  Immediates,
}

/** One played process. Its events stop when it is gone. */
export class Process {
  isGone = false;
  /** It does nothing before this time. */
  heldUntil: Millis = 0;
  /** Processor time that each of its events takes. */
  costMs: Millis = 0;

  /** `clockZero` is the time at which its own clock stood at 0. */
  constructor(
    readonly name: string,
    readonly clockZero: Millis,
  ) {}
}

/** Something that happens at a time. */
export interface Event {
  at: Millis;
  readonly phase: Phase;
  readonly dueAt: Millis;
  readonly sequence: number;
  readonly owner: Process | undefined;
  readonly run: () => void;
  isCancelled: boolean;
}

/** The queue of events and the time. */
export class Scheduler {
  now: Millis = 0;
  /** The process whose event runs now. */
  current: Process | undefined;
  private readonly heap: Event[] = [];
  private sequence = 0;

  /** Has `run` called at a time, in a process or outside of all. */
  schedule(
    at: Millis,
    phase: Phase,
    owner: Process | undefined,
    run: () => void,
  ): Event {
    const dueAt = Math.max(at, this.now);
    this.sequence += 1;
    const {sequence} = this;
    const event = {at: dueAt, phase, dueAt, sequence, owner, run};
    const added: Event = {...event, isCancelled: false};
    this.push(added);
    return added;
  }

  /** Has something happen outside of all processes. */
  later(ms: Millis, run: () => void): Event {
    return this.schedule(this.now + ms, Phase.Messages, undefined, run);
  }

  /** Delivers a message to a process. */
  deliver(at: Millis, owner: Process | undefined, run: () => void): void {
    this.schedule(at, Phase.Messages, owner, run);
  }

  /** Plays until a time; `drain` runs what promises have to do. */
  async runUntil(until: Millis, drain: () => Promise<void>): Promise<void> {
    for (;;) {
      const event = this.pop();
      if (event === undefined || event.at > until) return;
      if (event.isCancelled || event.owner?.isGone === true) continue;
      const heldUntil = event.owner?.heldUntil ?? 0;
      if (heldUntil > event.at) {
        event.at = heldUntil;
        this.push(event);
        continue;
      }
      this.now = event.at;
      this.current = event.owner;
      event.run();
      await drain();
      const {owner} = event;
      if (owner !== undefined && owner.costMs > 0) {
        owner.heldUntil = Math.max(owner.heldUntil, this.now + owner.costMs);
      }
      this.current = undefined;
    }
  }

  private push(event: Event): void {
    const {heap} = this;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || compare(above, event) <= 0) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): Event | undefined {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) {
      return first;
    }
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = left;
      const [leftEvent, rightEvent] = [heap[left], heap[right]];
      if (leftEvent === undefined) break;
      if (rightEvent !== undefined && compare(rightEvent, leftEvent) < 0) {
        least = right;
      }
      const below = heap[least];
      if (below === undefined || compare(last, below) <= 0) break;
      heap[index] = below;
      index = least;
    }
    heap[index] = last;
    return first;
  }
}

function compare(one: Event, other: Event): number {
  return (
    one.at - other.at ||
    one.phase - other.phase ||
    one.dueAt - other.dueAt ||
    one.sequence - other.sequence
  );
}
