/**
 * Changes the holders of the zones in turn while workers slow down, stand still
 * or answer late, and sends jobs to instances that are about to exit.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Callers} from './callers.js';
import {findHolder, type Machine, type World} from './machine.js';
import type {Random} from './random.js';
import type {WorkerFaults} from './worker_faults.js';

/** Bounds of the time between two changes, each in another zone, in ms. */
const MIN_INTERVAL_MS = 900;
const MAX_INTERVAL_MS = 2_000;
/** Workers are slow from at most this long before a change on, in ms. */
const MAX_LEAD_MS = 800;
/** Bounds of the time for which they are slow, in ms. */
const MIN_SLOW_MS = 800;
const MAX_SLOW_MS = 4_000;
/** Share of the changes at which the holder is killed. */
const KILL_SHARE = 0.25;
/** Bounds of the time in which a stopping process serves on, in ms. */
const MIN_LEAVE_MS = 1_500;
const MAX_LEAVE_MS = 5_000;
/** Bounds of the time until its successor starts, in ms. */
const MIN_RESTART_MS = 100;
const MAX_RESTART_MS = 1_500;
/** Jobs are sent to it from this long before its exit on, in ms. */
const LAST_JOBS_MS = 120;
/** Largest number of these jobs. */
const MAX_LAST_JOBS = 4;
/** Share of the changes at which its callers are disconnected beside. */
const RESET_SHARE = 0.5;

/** Share of the changes during which other zones' holders are heard late. */
const LATE_ZONES_SHARE = 0.5;
/** Bounds of the longest delay of a message to an instance, in ms. */
const MIN_ZONE_DELAY_MS = 100;
const MAX_ZONE_DELAY_MS = 1_200;
/** Time for which they are heard late, in ms. */
const LATE_ZONES_MS = 2_500;

/** Changes holders beside slow workers. */
export class SlowChanges {
  private readonly random: Random;

  constructor(
    private readonly world: World,
    private readonly callers: Callers,
    private readonly workerFaults: WorkerFaults,
  ) {
    this.random = world.random.fork();
  }

  /** Schedules the changes between two times. */
  schedule({from, until}: {readonly from: Millis; readonly until: Millis}) {
    const {random, world} = this;
    let count = 0;
    let at = from;
    while (at < until) {
      const zone = world.zones[count % world.zones.length];
      count += 1;
      world.scheduler.runAfter(at, () => this.prepare(zone));
      at += random.between(MIN_INTERVAL_MS, MAX_INTERVAL_MS);
    }
  }

  /** Disturbs workers now, and changes the holder soon. */
  private prepare(zone: string | undefined): void {
    const {random, world} = this;
    const slowMs = random.between(MIN_SLOW_MS, MAX_SLOW_MS);
    this.disturbWorkers(slowMs);
    world.scheduler.runAfter(random.between(0, MAX_LEAD_MS), () => {
      const holder = findHolder(world, zone);
      if (holder !== undefined) this.change(holder);
    });
  }

  private disturbWorkers(ms: Millis): void {
    const {random, workerFaults} = this;
    switch (random.integer(0, 3)) {
      case 0:
        return workerFaults.slowDown(ms);
      case 1:
        return workerFaults.standStill(ms);
      case 2:
        return workerFaults.answerLate(ms);
      default:
        return workerFaults.lengthenTasks(ms);
    }
  }

  private change(machine: Machine): void {
    const {random, world} = this;
    const name = machine.running?.id ?? machine.name;
    const restartMs = random.between(MIN_RESTART_MS, MAX_RESTART_MS);
    if (random.chance(LATE_ZONES_SHARE)) this.delayOtherZones(machine.zone);
    if (random.chance(KILL_SHARE)) {
      world.timeline.add('fault', `${name} killed`);
      this.sendLastJobs(machine, 0);
      machine.kill();
      world.scheduler.runAfter(restartMs, () => machine.start());
      return;
    }
    const leaveMs = random.between(MIN_LEAVE_MS, MAX_LEAVE_MS);
    world.timeline.add('fault', `${name} stops in ${Math.round(leaveMs)} ms`);
    machine.stopGracefully(leaveMs);
    this.sendLastJobs(machine, leaveMs);
    world.scheduler.runAfter(leaveMs + restartMs, () => machine.start());
  }

  /** Delays what the holders of the other zones send to instances. */
  private delayOtherZones(zone: string): void {
    const {random, world} = this;
    const delayMs = random.between(MIN_ZONE_DELAY_MS, MAX_ZONE_DELAY_MS);
    for (const {name} of world.machines.filter(machine => machine.isHolder)) {
      if (name.startsWith(`${zone}-`)) continue;
      world.timeline.add('fault', `${name}: instances hear it late`);
      const isSender = (other: string) => other === name;
      const isInstance = (other: string) =>
        world.machines.some(machine => machine.name === other);
      world.network.delay(isSender, isInstance, LATE_ZONES_MS, delayMs);
    }
  }

  /** Sends jobs to an instance that exits in `exitMs`, just before and after. */
  private sendLastJobs(machine: Machine, exitMs: Millis): void {
    const {random, world, callers} = this;
    const {scheduler} = world;
    const count = random.integer(0, MAX_LAST_JOBS);
    const fromMs = Math.max(0, exitMs - LAST_JOBS_MS);
    for (let index = 0; index < count; index += 1) {
      const atMs = random.between(fromMs, exitMs + LAST_JOBS_MS);
      scheduler.runAfter(atMs, () => callers.sendJobTo(machine));
    }
    if (!random.chance(RESET_SHARE)) return;
    const resetMs = random.between(fromMs, exitMs + LAST_JOBS_MS);
    scheduler.runAfter(resetMs, () => resetCallers(world, machine));
  }
}

/** Resets the connections of a machine's callers. */
function resetCallers({timeline}: World, {running}: Machine): void {
  if (running === undefined) return;
  timeline.add('fault', `caller connections of ${running.id} are reset`);
  for (const reset of [...running.resetCallbacks]) reset();
}
