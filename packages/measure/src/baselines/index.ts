/**
 * Simulated baselines for response times. The central queue knows the state of
 * all slots at no cost: first come, first served, each task on the fastest free
 * slot.
 */
import type {LoadJob} from '../load/index.js';

/** Simulated response times of the tasks of one job, in milliseconds. */
export interface BaselineJob {
  readonly job: LoadJob;
  /** In the order of its tasks; undefined for a cancelled task. */
  readonly tasksMs: ReadonlyArray<number | undefined>;
  /** Wait of each task that was started, in milliseconds. */
  readonly waitsMs: readonly number[];
}

/** Runs each task without wait at the highest speed. */
export function runOnFastest(
  jobs: readonly LoadJob[],
  speeds: readonly number[],
): BaselineJob[] {
  const fastest = Math.max(...speeds);
  return jobs.map(job => ({
    job,
    tasksMs: job.tasks.map(({workMs}) => workMs / fastest),
    waitsMs: job.tasks.map(() => 0),
  }));
}

/**
 * Runs the jobs over a central queue; `speeds` has one element for each slot.
 */
export function runCentralQueue(
  jobs: readonly LoadJob[],
  speeds: readonly number[],
): BaselineJob[] {
  const slots = speeds.map(speed => ({speed, freeAtMs: 0}));
  // Jobs are in order of time, so the next free slot goes to the next task.
  return jobs.map(job => {
    const waitsMs: number[] = [];
    const tasksMs = job.tasks.map(({workMs}) => {
      const slot = chooseSlot(slots, job.atMs);
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

/** The fastest slot that is free at `now`, or else the next one to be free. */
function chooseSlot(slots: readonly Slot[], now: number): Slot {
  const [first] = slots;
  if (first === undefined) throw new Error('the cluster has no slots');
  return slots.reduce((best, slot) => {
    const [bestStartMs, startMs] = [
      Math.max(best.freeAtMs, now),
      Math.max(slot.freeAtMs, now),
    ];
    if (bestStartMs !== startMs) return startMs < bestStartMs ? slot : best;
    return slot.speed > best.speed ? slot : best;
  }, first);
}
