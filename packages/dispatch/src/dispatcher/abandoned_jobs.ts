/** Finds the jobs that still run here though nobody waits for them. */
import {parseTaskName} from '../work/index.js';
import type {Registry} from './registry.js';

/**
 * Finds the jobs that are being stopped, and those whose runs no submission has
 * claimed since this instance became the holder.
 */
export function findAbandonedJobs(registry: Registry): Set<string> {
  const jobIds = new Set<string>();
  for (const record of registry.jobs.values()) {
    if (record.pendingOutcome === undefined || !record.isRunning) continue;
    jobIds.add(record.submittedId);
  }
  for (const {orphans} of registry.workers.values()) {
    for (const key of orphans.keys()) {
      const name = parseTaskName(key);
      if (name !== undefined) jobIds.add(name.jobId);
    }
  }
  return jobIds;
}
