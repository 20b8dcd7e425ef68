/** The kinds of workers in a simulation. */
import {REQUIRED_LABEL} from './label_checker.js';
import type {WorkerKind} from './worker_process.js';

const USUAL_CPU_MILLIS = 64_000;
const SMALL_CPU_MILLIS = 32_000;

/** Creates the kind with or without the label that some jobs require. */
export function createUsualKind(hasLabel: boolean): WorkerKind {
  return createKind(hasLabel, USUAL_CPU_MILLIS);
}

/** Creates a kind with other labels and another capacity than this one. */
export function createOtherKind({labels, capacity}: WorkerKind): WorkerKind {
  const isUsual = capacity.cpuMillis === USUAL_CPU_MILLIS;
  const cpuMillis = isUsual ? SMALL_CPU_MILLIS : USUAL_CPU_MILLIS;
  return createKind(!labels.includes(REQUIRED_LABEL), cpuMillis);
}

function createKind(hasLabel: boolean, cpuMillis: number): WorkerKind {
  const labels = hasLabel ? [REQUIRED_LABEL] : [];
  return {labels, capacity: {cpuMillis, memoryMb: 100_000, accelerators: 0}};
}
