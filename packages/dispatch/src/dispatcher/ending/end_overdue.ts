/** Ends the runs and jobs that are over, or can't go on. */
import type {Millis} from '@goldcrestpier/runtime';
import {failCrashingJobs} from '../placing/index.js';
import type {EarlierRuns} from '../intake/index.js';
import {endBlockedJobs} from '../starts/index.js';
import {endLostTasks, endOverdueJobs, endOverdueRuns} from './overdue.js';
import {endOverlongJobs} from './end_overlong.js';
import type {Registry} from '../registry.js';

/** Ends the runs and jobs whose time is over or that can't go on. */
export function endOverdue(
  registry: Registry,
  earlierRuns: EarlierRuns,
  now: Millis,
): void {
  endOverdueRuns(registry, now);
  endLostTasks(registry, earlierRuns, now);
  endOverlongJobs(registry, now);
  endOverdueJobs(registry, now);
  failCrashingJobs(registry, now);
  endBlockedJobs(registry, now);
}
