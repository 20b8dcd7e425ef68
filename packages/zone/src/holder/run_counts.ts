/** What a holder knows of what its workers run. */
import {parseTaskName, type Dispatcher} from '@goldcrestpier/dispatch';

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

/** Whether a task of the job runs at a worker, whoever asked for it. */
export function hasRunsOf(dispatcher: Dispatcher, jobId: string): boolean {
  for (const {runs, orphans} of dispatcher.workers.values()) {
    for (const key of [...runs.keys(), ...orphans.keys()]) {
      if (parseTaskName(key)?.jobId === jobId) return true;
    }
  }
  return false;
}
