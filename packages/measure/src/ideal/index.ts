/**
 * The ideals to compare with. The central queue sees everything at no cost:
 * first come first served, each task on the fastest free slot.
 */
import type {LoadJob} from '../load/index.js';

/** Response times of the tasks of one job, in milliseconds. */
export interface IdealJob {
  readonly job: LoadJob;
  /** In the order of its tasks; undefined for one that was cancelled. */
  readonly tasksMs: ReadonlyArray<number | undefined>;
  /** How long each task that was started had waited. */
  readonly waitsMs: readonly number[];
}

/** Each task at once on a server of the highest speed. */
export function runOnFastest(
  jobs: readonly LoadJob[],
  speeds: readonly number[],
): IdealJob[] {
  const fastest = Math.max(...speeds);
  return jobs.map(job => ({
    job,
    tasksMs: job.tasks.map(({workMs}) => workMs / fastest),
    waitsMs: job.tasks.map(() => 0),
  }));
}

/** The central queue over slots of `speeds`, one entry a slot. */
export function runCentralQueue(
  jobs: readonly LoadJob[],
  speeds: readonly number[],
): IdealJob[] {
  const slots = speeds.map(speed => ({speed, freeAtMs: 0}));
  // Jobs come in order of time, so that the next free slot is the next task's.
  return jobs.map(job => {
    const waitsMs: number[] = [];
    const tasksMs = job.tasks.map(({workMs}) => {
      const slot = pickSlot(slots, job.atMs);
      const startMs = Math.max(slot.freeAtMs, job.atMs);
      if (startMs >= (job.cancelAtMs ?? Infinity)) return undefined;
      slot.freeAtMs = startMs + workMs / slot.speed;
      waitsMs.push(startMs - job.atMs);
      return slot.freeAtMs - job.atMs;
    });
    return {job, tasksMs, waitsMs};
  });
}

interface Slot {
  readonly speed: number;
  freeAtMs: number;
}

/** The fastest slot that is free at `now`, or else the first to be free. */
function pickSlot(slots: readonly Slot[], now: number): Slot {
  const [first] = slots;
  if (first === undefined) throw new Error('there is no slot');
  return slots.reduce((best, slot) => {
    const [a, b] = [Math.max(best.freeAtMs, now), Math.max(slot.freeAtMs, now)];
    if (a !== b) return b < a ? slot : best;
    return slot.speed > best.speed ? slot : best;
  }, first);
}
