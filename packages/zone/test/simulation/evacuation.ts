/** Evacuates the first zone for a while, and checks what starts there meanwhile. */
import type {Millis} from '@goldcrestpier/runtime';
import {findHolder, type World} from './machine.js';
import type {Timeline} from './timeline.js';

/** The time within which an evacuation takes effect, in ms. */
const EVACUATE_MS = 5_000;
/** Time from the write to the change of holder, in ms. */
const CHANGE_DELAY_MS = 1;
/** How long a holder that was killed takes to start again, in ms. */
const RESTART_MS = 1_500;

/** What happens as the operator writes the key. */
export enum EvacuationFault {
  None = 'none',
  /** The holder is killed before it has read the key. */
  HolderKilled = 'holder_killed',
  /** The store rejects the holder from long before the write on. */
  HolderRejected = 'holder_rejected',
  /** The store is down soon after the write, and all instances restart. */
  StoreDown = 'store_down',
}

/** When a zone is evacuated, in simulated time. */
export interface EvacuationPlan {
  readonly from: Millis;
  readonly until: Millis;
  readonly fault: EvacuationFault;
}

/** Counts the starts in the zone. */
export class EvacuationChecker {
  readonly violations: string[] = [];
  /** Starts in the zone before the write, and after the key was removed. */
  startsBefore = 0;
  startsAfter = 0;
  /** Starts in the zone between the write and the time when it has effect. */
  lateStarts = 0;
  /** Starts in the other zones while the zone is evacuated. */
  startsElsewhere = 0;

  constructor(
    private readonly timeline: Timeline,
    private readonly zone: string | undefined,
    private readonly plan: EvacuationPlan | undefined,
  ) {}

  /** Records the start of a task on a worker of a zone. */
  recordStart(task: string, zone: string): void {
    const {plan, timeline} = this;
    if (plan === undefined) return;
    const sinceMs = timeline.now - plan.from;
    const isEvacuated = sinceMs >= 0 && timeline.now < plan.until;
    if (zone !== this.zone) this.startsElsewhere += isEvacuated ? 1 : 0;
    else if (sinceMs < 0) this.startsBefore += 1;
    else if (!isEvacuated) this.startsAfter += 1;
    else if (sinceMs < EVACUATE_MS) this.lateStarts += 1;
    else this.violations.push(`${task} starts ${sinceMs} ms after the write`);
  }
}

/** Schedules the write and the removal of the key, and the fault. */
export function scheduleEvacuation(
  world: World,
  {from, until, fault}: EvacuationPlan,
): void {
  const {scheduler, store, zones, machines} = world;
  const [zone] = zones;
  if (zone === undefined) return;
  scheduler.runAfter(from, () => store.evacuate([zone]));
  scheduler.runAfter(until, () => store.evacuate([]));
  const inZone = machines.filter(machine => machine.zone === zone);
  switch (fault) {
    case EvacuationFault.None:
      return;
    case EvacuationFault.HolderKilled:
      scheduler.runAfter(from + CHANGE_DELAY_MS, () => {
        const holder = findHolder(world, zone);
        holder?.kill();
        scheduler.runAfter(RESTART_MS, () => holder?.start());
      });
      return;
    case EvacuationFault.HolderRejected:
      scheduler.runAfter(from / 2, () => {
        const holder = findHolder(world, zone);
        if (holder !== undefined) store.rejectedMachines.add(holder.name);
      });
      return;
    case EvacuationFault.StoreDown:
      scheduler.runAfter(from + EVACUATE_MS / 2, () => {
        store.startOutage(EVACUATE_MS, false);
      });
      scheduler.runAfter(from + EVACUATE_MS, () => {
        for (const machine of inZone) machine.kill();
        for (const machine of inZone) machine.start();
      });
  }
}
