/**
 * Simulated time. Every timer of the simulated code and every message is an
 * event in one queue; an event belongs to the simulated process that it runs
 * in. After each event all pending promise callbacks are run.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Events at the same time run in this order, as in Node's event loop. */
export enum Phase {
  Timers,
  Messages,
  Immediates,
}

/** A simulated process. Its events are dropped once it has exited. */
export class SimulatedProcess {
  hasExited = false;
  /** Called when it exits. */
  readonly exitCallbacks = new Set<() => void>();
  /** Its events are postponed to this time. */
  pausedUntil: Millis = 0;
  /** CPU time that each of its events takes, in ms. */
  eventCostMs: Millis = 0;

  /** `clockZero` is the simulated time at which its own clock showed 0. */
  constructor(
    readonly name: string,
    readonly clockZero: Millis,
  ) {}

  /** Ends the process. */
  exit(): void {
    this.hasExited = true;
    for (const notify of [...this.exitCallbacks]) notify();
  }
}

/** A callback that is scheduled for a time. */
export interface ScheduledEvent {
  at: Millis;
  readonly phase: Phase;
  readonly dueAt: Millis;
  readonly sequence: number;
  readonly owner: SimulatedProcess | undefined;
  readonly run: () => void;
  isCancelled: boolean;
}

/** The event queue and the simulated time. */
export class Scheduler {
  now: Millis = 0;
  /** The process whose event is running. */
  currentProcess: SimulatedProcess | undefined;
  private readonly heap: ScheduledEvent[] = [];
  private sequence = 0;

  /** Schedules `run` at a time, in a process or outside of all processes. */
  schedule(
    at: Millis,
    phase: Phase,
    owner: SimulatedProcess | undefined,
    run: () => void,
  ): ScheduledEvent {
    const dueAt = Math.max(at, this.now);
    this.sequence += 1;
    const {sequence} = this;
    const event = {at: dueAt, phase, dueAt, sequence, owner, run};
    const added: ScheduledEvent = {...event, isCancelled: false};
    this.push(added);
    return added;
  }

  /** Schedules a callback outside of all processes. */
  runAfter(ms: Millis, run: () => void): ScheduledEvent {
    return this.schedule(this.now + ms, Phase.Messages, undefined, run);
  }

  /** Delivers a message to a process. */
  deliver(
    at: Millis,
    owner: SimulatedProcess | undefined,
    run: () => void,
  ): void {
    this.schedule(at, Phase.Messages, owner, run);
  }

  /** Runs events until a time; `drain` runs the pending promise callbacks. */
  async runUntil(until: Millis, drain: () => Promise<void>): Promise<void> {
    while (this.nextEventAt <= until) await this.runNext(drain);
  }

  /** The time of the next event; Infinity if there is none. */
  get nextEventAt(): Millis {
    return this.heap[0]?.at ?? Infinity;
  }

  /** Runs the next event, or postpones it if its process is paused. */
  async runNext(drain: () => Promise<void>): Promise<void> {
    const event = this.pop();
    if (event === undefined) return;
    const {owner} = event;
    if (event.isCancelled || owner?.hasExited === true) return;
    if (owner !== undefined && owner.pausedUntil > event.at) {
      event.at = owner.pausedUntil;
      this.push(event);
      return;
    }
    this.now = event.at;
    this.currentProcess = owner;
    event.run();
    await drain();
    if (owner !== undefined && owner.eventCostMs > 0) {
      owner.pausedUntil = Math.max(
        owner.pausedUntil,
        this.now + owner.eventCostMs,
      );
    }
    this.currentProcess = undefined;
  }

  private push(event: ScheduledEvent): void {
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

  private pop(): ScheduledEvent | undefined {
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

function compare(one: ScheduledEvent, other: ScheduledEvent): number {
  return (
    one.at - other.at ||
    one.phase - other.phase ||
    one.dueAt - other.dueAt ||
    one.sequence - other.sequence
  );
}
