/** Stops holders that hear their workers and their successors too late. */
import type {Millis} from '@goldcrestpier/runtime';
import {scheduleHolderFaults} from './holder_faults.js';
import type {Machine, World} from './machine.js';
import type {Random} from './random.js';

/** Time between two of these stops, each in another zone, in ms. */
const INTERVAL_MS = 1_500;
/** Messages to the holder are delayed for this time, in ms. */
const UNHEARD_MS = 2_500;
/** Longest of these delays, in ms. */
const MAX_DELAY_MS = 600;
/** Bounds of the time from the first delays until the holder leaves, in ms. */
const MIN_LEAVE_AFTER_MS = 750;
const MAX_LEAVE_AFTER_MS = 1_000;
/** A leaving process exits after this time, in ms. */
const LEAVE_MS = 3_500;
/** Time from the begin of its leaving to the next start, in ms. */
const RESTART_AFTER_MS = 5_000;

/** Schedules such stops of the zones' holders in turn. */
export function scheduleUnheardStops(
  world: World,
  {from, until}: {readonly from: Millis; readonly until: Millis},
): void {
  const random = world.random.fork();
  const period = {from, until, intervalMs: INTERVAL_MS};
  scheduleHolderFaults(world, period, holder =>
    stopUnheard(world, holder, random),
  );
}

function stopUnheard(
  {scheduler, network, timeline}: World,
  machine: Machine,
  random: Random,
): void {
  const {name} = machine;
  timeline.add('fault', `${name}: delays of messages to it`);
  const isAny = () => true;
  network.delay(isAny, other => other === name, UNHEARD_MS, MAX_DELAY_MS);
  const afterMs = random.between(MIN_LEAVE_AFTER_MS, MAX_LEAVE_AFTER_MS);
  scheduler.runAfter(afterMs, () => {
    timeline.add('fault', `${name} stops within ${LEAVE_MS} ms`);
    machine.stopGracefully(LEAVE_MS);
    scheduler.runAfter(RESTART_AFTER_MS, () => machine.start());
  });
}
