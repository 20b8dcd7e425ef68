/**
 * The ideal to compare with: one queue that sees everything at no cost, first
 * come first served, each task on the fastest free server.
 */
import {Heap} from '@goldcrestpier/limits';
import type {Arrival, SpeedyServer} from './workload.js';

/** Response times of the ideal, in the order of the arrivals. */
export function runIdeal(
  arrivals: readonly Arrival[],
  servers: readonly SpeedyServer[],
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
    // Arrivals come in order, so that the next free slot is this one's.
    const startAt = free.size > 0 ? atMs : release();
    const speed = free.pop()?.item ?? 1;
    const endAt = startAt + workMs / speed;
    busy.push(speed, endAt);
    return endAt - atMs;
  });
}
