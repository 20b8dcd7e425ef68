/** Writes what the dispatcher changes to the log and the counters. */
import {
  RunEnd,
  type DispatchObserver,
  type Order,
} from '@goldcrestpier/dispatch';
import type {Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {JobSubmission} from '../protocol/index.js';

/** Observes one dispatcher. */
export function createObserver(
  logger: Logger,
  metrics: ZoneMetrics,
): DispatchObserver {
  return {
    runEnded({key: task, run, workerId: worker, expectedMs}, end, tookMs) {
      metrics.runs.inc({end});
      const fields = {
        task,
        run,
        worker,
        end,
        tookMs: Math.round(tookMs),
        expectedMs: Math.round(expectedMs),
      };
      if (end === RunEnd.Done) logger.debug('run ended', fields);
      else logger.info('run ended', fields);
    },
    workerStruck(worker, reason, ejected) {
      metrics.strikes.inc({reason});
      if (ejected) metrics.ejections.inc({reason});
      logger.info('worker struck', {worker, reason, ejected});
    },
  };
}

/** Writes one line for each job of which tasks were placed. */
export function logPlacements(orders: readonly Order[], logger: Logger): void {
  const placed = new Map<string, string[]>();
  for (const order of orders) {
    if (order.kind !== 'start' && order.kind !== 'lend') continue;
    const {key, recordId, run, workerId, expectedMs} = order.run;
    const texts = placed.get(recordId) ?? [];
    const place = `${key.slice(key.indexOf('.') + 1)}/${run}@${workerId}`;
    texts.push(`${place}~${Math.round(expectedMs)}ms`);
    placed.set(recordId, texts);
  }
  for (const [job, texts] of placed) {
    logger.info('tasks placed', {job, tasks: texts.join(' ')});
  }
}

/** Writes that a job was taken, with what its fate depends on. */
export function logSubmission(
  message: JobSubmission,
  isKnown: boolean,
  freeMillis: number,
  logger: Logger,
): void {
  const {id, queue, ownerId, isResumed, ageMs, remainingMs} = message;
  logger.info('job taken', {
    job: id,
    queue,
    ownerId,
    isResumed,
    isKnown,
    ageMs: Math.round(ageMs),
    remainingMs: Math.round(remainingMs),
    freeMillis,
  });
}
