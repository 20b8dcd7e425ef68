/** Writes what the dispatcher changes to the log and the counters. */
import {
  RunEnd,
  type Dispatcher,
  type DispatchObserver,
  type Command,
} from '@goldcrestpier/dispatch';
import type {Logger, Millis} from '@goldcrestpier/runtime';
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
    jobRefused(
      {id: job, isInbound: isForeign, planned, job: {arrivedAt}},
      reason,
      waitMs,
      now,
    ) {
      // The zone that lends a task logs that it was turned away.
      if (isForeign) return;
      logger.info('job refused', {
        job,
        reason,
        ageMs: Math.round(now - arrivedAt),
        worth: round(planned?.worth),
        leastWorth: round(planned?.minWorth),
        waitMs: Math.round(waitMs),
      });
    },
    workerStruck(worker, reason, ejected) {
      metrics.strikes.inc({reason});
      if (ejected) metrics.ejections.inc({reason});
      logger.info('worker struck', {worker, reason, ejected});
    },
  };
}

/** Two digits, as much as a worth is known to. */
function round(worth: number | undefined): number | undefined {
  return worth === undefined ? undefined : Math.round(worth * 100) / 100;
}

/** What a holder's placements rest on, for its log. */
export interface PlacementBasis {
  /** How old the list of workers is. */
  readonly listAgeMs: Millis | undefined;
  /** How long this instance has been the holder. */
  readonly heldMs: Millis;
}

/** Writes one line for each job of which tasks were placed, and by what. */
export function logPlacements(
  orders: readonly Command[],
  dispatcher: Dispatcher,
  {listAgeMs, heldMs}: PlacementBasis,
  logger: Logger,
): void {
  const placed = new Map<string, string[]>();
  for (const order of orders) {
    if (order.kind !== 'start' && order.kind !== 'lend') continue;
    const {key, recordId, run, workerId, expectedMs} = order.run;
    const texts = placed.get(recordId) ?? [];
    const place = `${key.slice(key.indexOf('.') + 1)}/${run}@${workerId}`;
    texts.push(`${place}~${Math.round(expectedMs)}ms`);
    placed.set(recordId, texts);
  }
  const age = listAgeMs === undefined ? undefined : Math.round(listAgeMs);
  for (const [job, texts] of placed) {
    const fields = {job, tasks: texts.join(' '), listAgeMs: age};
    const isResumed = dispatcher.jobs.get(job)?.isResumed === true;
    const takeover = isResumed ? describeTakeover(dispatcher, heldMs) : {};
    logger.info('tasks placed', {...fields, ...takeover});
  }
}

/** By what a holder knew that no earlier run of a resumed job goes on. */
function describeTakeover({workers}: Dispatcher, heldMs: Millis) {
  const lookedAt = [...workers.values()].filter(
    ({hasAcceptedToken: isHeld}) => isHeld,
  );
  return {
    heldMs: Math.round(heldMs),
    workers: workers.size,
    workersLookedAt: lookedAt.length,
  };
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
