/** Whether tasks fit on workers. */
import type {Need, Step} from '../work/index.js';
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

/** How many times `need` fits into `room`. */
export function countFitting(need: Need, room: Need): number {
  const counts = [
    divide(room.cpuMillis, need.cpuMillis),
    divide(room.memoryMb, need.memoryMb),
    divide(room.accelerators, need.accelerators),
  ];
  return Math.max(0, Math.floor(Math.min(...counts)));
}

function divide(room: number, need: number): number {
  return need > 0 ? room / need : Infinity;
}
