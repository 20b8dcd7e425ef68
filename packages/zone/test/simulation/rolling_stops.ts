/** Stops all machines one after the other, so that several leave at a time. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Machine, World} from './machine.js';

/** A leaving process serves its callers for at least this long, in ms. */
const MIN_LEAVE_MS = 3_000;
/** It exits at the latest after this time, in ms. */
const MAX_LEAVE_MS = 5_300;
/** Longest time from the exit of a process to its next start, in ms. */
const MAX_RESTART_MS = 1_500;

/** Schedules planned stops of all machines in a random order. */
export function scheduleRollingStops(
  world: World,
  {from, until}: {readonly from: Millis; readonly until: Millis},
): void {
  const random = world.random.fork();
  const intervalMs = random.between(700, 2_200);
  const waiting = [...world.machines];
  for (let at = from; at < until && waiting.length > 0; at += intervalMs) {
    const machine = random.pick(waiting);
    waiting.splice(waiting.indexOf(machine), 1);
    const leaveMs = random.between(MIN_LEAVE_MS, MAX_LEAVE_MS);
    const restartMs = random.between(0, MAX_RESTART_MS);
    world.scheduler.runAfter(at, () =>
      stop(world, machine, leaveMs, restartMs),
    );
  }
}

function stop(
  {scheduler, timeline}: World,
  machine: Machine,
  leaveMs: Millis,
  restartMs: Millis,
): void {
  const {name, running} = machine;
  timeline.add(
    'fault',
    `${running?.id ?? name} stops within ${Math.round(leaveMs)} ms`,
  );
  machine.stopGracefully(leaveMs);
  scheduler.runAfter(leaveMs + restartMs, () => machine.start());
}
