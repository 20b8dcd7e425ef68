/**
 * The ideal baseline: one central FIFO queue with complete information and no
 * communication cost, which runs each task on the fastest free server.
 */
import {Heap} from '@goldcrestpier/limits';
import type {Arrival, SimulatedServer} from './workload.js';

/** Computes the ideal response times, in milliseconds and arrival order. */
export function runIdeal(
  arrivals: readonly Arrival[],
  servers: readonly SimulatedServer[],
): number[] {
  const free = new Heap<number>();
  const busy = new Heap<number>();
  for (const {speed, server} of servers) {
    for (let i = 0; i < server.slots; i += 1) free.push(speed, -speed);
  }
  return arrivals.map(({atMs, workMs}) => {
    const release = () => {
      const ended = busy.pop();
      if (ended !== undefined) free.push(ended.item, -ended.item);
      return ended?.priority ?? atMs;
    };
    while ((busy.peek()?.priority ?? Infinity) <= atMs) release();
    // Arrivals are sorted by time, so the next free slot serves this one.
    const startAt = free.size > 0 ? atMs : release();
    const speed = free.pop()?.item ?? 1;
    const endAt = startAt + workMs / speed;
    busy.push(speed, endAt);
    return endAt - atMs;
  });
}
