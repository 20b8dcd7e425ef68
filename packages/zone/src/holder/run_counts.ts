/** Counts the runs and waiting jobs that a holder knows about. */
import {parseTaskName, type Dispatcher} from '@goldcrestpier/dispatch';

/** Counts the runs of accepted jobs, here and in other zones. */
export function countRuns({jobs}: Dispatcher): number {
  let count = 0;
  for (const record of jobs.values()) count += [...record.runs()].length;
  return count;
}

/** Counts the runs of one accepted job, here and in other zones. */
export function countRunsOf({jobs}: Dispatcher, jobId: string): number {
  return [...(jobs.get(jobId)?.runs() ?? [])].length;
}

/** Counts the runs found on workers whose jobs were not submitted here. */
export function countOrphans({workers}: Dispatcher): number {
  let count = 0;
  for (const {orphans} of workers.values()) count += orphans.size;
  return count;
}

/** Whether any worker runs a task of the job, whoever started it. */
export function hasRunsOf(dispatcher: Dispatcher, jobId: string): boolean {
  for (const {runs, orphans} of dispatcher.workers.values()) {
    for (const key of [...runs.keys(), ...orphans.keys()]) {
      if (parseTaskName(key)?.jobId === jobId) return true;
    }
  }
  return false;
}

/** Counts the jobs of a queue of which no task has started. */
export function countWaitingJobs({jobs}: Dispatcher, queue: string): number {
  let count = 0;
  for (const {job, hasStarted} of jobs.values()) {
    if (job.queue === queue && !hasStarted) count += 1;
  }
  return count;
}
