/** How much of the workers' load a holder knows of. */
import type {Dispatcher} from '@goldcrestpier/dispatch';

/** Runs of jobs that the holder has taken, here and in other zones. */
export function countRuns({jobs}: Dispatcher): number {
  let count = 0;
  for (const record of jobs.values()) count += [...record.runs()].length;
  return count;
}

/** Runs found on workers whose jobs nobody has handed in here. */
export function countOrphans({workers}: Dispatcher): number {
  let count = 0;
  for (const {orphans} of workers.values()) count += orphans.size;
  return count;
}
