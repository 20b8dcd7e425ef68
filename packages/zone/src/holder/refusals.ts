/** Answers to jobs and tasks of which nothing is taken up. */
import {RefusalReason} from '@goldcrestpier/dispatch';
import type {JobAnswer} from '../protocol/index.js';

/** When a caller that was refused for a busy holder may come back, in ms. */
const BUSY_RETRY_MS = 1_000;

/** Given to a job of which a busy holder knows neither a record nor a run. */
export const busyRefusal = {
  kind: 'refused',
  reason: RefusalReason.HolderBusy,
  retryAfterMs: BUSY_RETRY_MS,
} as const;

/** The same as the answer to a message. */
export const refusedAsBusy: Promise<JobAnswer> = Promise.resolve(busyRefusal);

/** Given to a holder of another zone that another one has followed. */
export const outdatedRefusal = {
  kind: 'refused',
  reason: RefusalReason.Outdated,
  retryAfterMs: 0,
} as const;
