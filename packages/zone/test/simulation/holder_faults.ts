/** Schedules faults of the holders of all zones in turn. */
import type {Millis} from '@goldcrestpier/runtime';
import {findHolder, type Machine, type World} from './machine.js';

/** When faults are injected, in simulated time. */
export interface FaultPeriod {
  readonly from: Millis;
  readonly until: Millis;
  /** Time between two faults, each in another zone, in ms. */
  readonly intervalMs: Millis;
}

/** Applies a fault to the holder of one zone after the other, if it has one. */
export function scheduleHolderFaults(
  world: World,
  {from, until, intervalMs}: FaultPeriod,
  apply: (holder: Machine) => void,
): void {
  let count = 0;
  for (let at = from; at < until; at += intervalMs) {
    const zone = world.zones[count % world.zones.length];
    count += 1;
    world.scheduler.runAfter(at, () => {
      const holder = findHolder(world, zone);
      if (holder !== undefined) apply(holder);
    });
  }
}
