/** Connects sessions and jobs to placement. */
import {AdoptedSessions, JobOwner, type TaskSink} from '@goldcrestpier/jobs';
import {LogPart, readClock, sleep} from '@goldcrestpier/runtime';
import {checkServices} from './check_services.js';
import type {Context} from './context.js';
import type {Platform} from './platform.js';

const SWEEP_INTERVAL_MS = 1_000;

/**
 * Age at which a copy of a submission is refused. Must exceed the age of a
 * heartbeat: the age of a relayed copy is calculated from the owner's clock in
 * its latest heartbeat, and so may be overestimated by that heartbeat's age.
 */
export const MAX_COPY_AGE_MS = 5_000;

/** The sessions of this instance and those taken over from other instances. */
export interface Sessions {
  readonly owner: JobOwner;
  readonly adopted: AdoptedSessions;
}

/** Creates the sessions and starts their periodic expiry. */
export function openSessions(
  {settings, self, lifecycle, logs, metrics}: Context,
  platform: Platform,
  sink: TaskSink,
): Sessions {
  const logger = logs.forPart(LogPart.Jobs);
  const owner = new JobOwner({
    self,
    limits: {
      sessionIdleMs: settings.sessions.idleMs,
      maxSessions: settings.sessions.maxSessions,
      maxKeysPerSession: settings.sessions.maxKeys,
      answersKeptMs: settings.jobs.answersKeptMs,
      maxCopyAgeMs: MAX_COPY_AGE_MS,
    },
    sink,
    checkJob: job => checkServices(platform, job, readClock()),
    counters: metrics,
    logger,
  });
  const adopted = new AdoptedSessions(settings.jobs.answersKeptMs);
  lifecycle.run(
    'session sweep',
    async signal => {
      while (!signal.aborted) {
        await sleep(SWEEP_INTERVAL_MS, signal);
        owner.sweep(readClock());
        adopted.sweep(readClock());
      }
    },
    cause => logger.error('session expiry loop failed', {cause: String(cause)}),
  );
  return {owner, adopted};
}
