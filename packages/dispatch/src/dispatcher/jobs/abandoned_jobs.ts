/** Finds the jobs that still run here though nobody waits for them. */
import type {Millis} from '@goldcrestpier/runtime';
import {parseTaskName} from '../../work/index.js';
import type {Registry} from '../registry.js';

/**
 * Finds the jobs that are being stopped, and those whose runs no submission has
 * claimed; returns since when, as far as that is known. Runs are unclaimed since
 * the holder that started them was lost, however many have followed it.
 */
export function findAbandonedJobs(
  registry: Registry,
  unclaimedSince: Millis,
  now: Millis,
): Map<string, Millis> {
  const jobs = new Map<string, Millis>();
  for (const record of registry.jobs.values()) {
    if (record.pendingOutcome === undefined || !record.isRunning) continue;
    jobs.set(record.submittedId, now);
  }
  for (const {orphans} of registry.workers.values()) {
    for (const key of orphans.keys()) {
      const name = parseTaskName(key);
      if (name !== undefined) jobs.set(name.jobId, unclaimedSince);
    }
  }
  return jobs;
}
