/** Checks whether tasks fit on workers. */
import type {Resources, Step} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';

/** Whether the worker could ever run a task of the step. */
export function canEverRun(step: Step, {info}: WorkerRecord): boolean {
  const {requiredLabel, need} = step;
  const {labels, capacity} = info;
  if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
    return false;
  }
  return countFitting(need, capacity) > 0;
}

/** Returns how many times `need` fits into `available`. */
export function countFitting(need: Resources, available: Resources): number {
  const count = Math.min(
    divide(available.cpuMillis, need.cpuMillis),
    divide(available.memoryMb, need.memoryMb),
    divide(available.accelerators, need.accelerators),
  );
  return Math.max(0, Math.floor(count));
}

/** How often `need` goes into `available`; no limit where nothing is needed. */
export function divide(available: number, need: number): number {
  return need > 0 ? available / need : Infinity;
}

/** Whether `need` fits into `available`. */
export function fits(need: Resources, available: Resources): boolean {
  return (
    need.cpuMillis <= available.cpuMillis &&
    need.memoryMb <= available.memoryMb &&
    need.accelerators <= available.accelerators
  );
}

/** Returns `from` without `times` the amounts of `need`. */
export function subtract(
  from: Resources,
  need: Resources,
  times: number,
): Resources {
  return {
    cpuMillis: from.cpuMillis - times * need.cpuMillis,
    memoryMb: from.memoryMb - times * need.memoryMb,
    accelerators: from.accelerators - times * need.accelerators,
  };
}

/** Whether the amounts are the same. */
export function areEqual(a: Resources, b: Resources): boolean {
  return (
    a === b ||
    (a.cpuMillis === b.cpuMillis &&
      a.memoryMb === b.memoryMb &&
      a.accelerators === b.accelerators)
  );
}
