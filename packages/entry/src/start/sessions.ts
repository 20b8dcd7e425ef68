/** Joins sessions and jobs to placement. */
import {AdoptedSessions, JobOwner, type TaskSink} from '@goldcrestpier/jobs';
import {LogPart, readClock, sleep} from '@goldcrestpier/runtime';
import {checkServices} from './check_job.js';
import type {Context} from './context.js';
import type {Platform} from './platform.js';

const SWEEP_MS = 1_000;

/**
 * The longest that a copy of a submission may live inside the system. Above
 * the age of a heartbeat, which bounds what a relayed copy's age is known to.
 */
export const MAX_COPY_AGE_MS = 5_000;

/** The sessions of this instance and those it took over. */
export interface Sessions {
  readonly owner: JobOwner;
  readonly adopted: AdoptedSessions;
}

/** Creates the sessions; the life cycle ends their sweeping. */
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
        await sleep(SWEEP_MS, signal);
        owner.sweep(readClock());
        adopted.sweep(readClock());
      }
    },
    cause => logger.error('sweeping ended', {cause: String(cause)}),
  );
  return {owner, adopted};
}
