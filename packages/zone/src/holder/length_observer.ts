/** Logs and counts what follows from runs that take long. */
import type {DispatchObserver} from '@goldcrestpier/dispatch';
import type {Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';

/** Creates the part that concerns runs which take long. */
export function createLengthObserver(
  logger: Logger,
  metrics: ZoneMetrics,
): Pick<DispatchObserver, 'runMoved' | 'jobOverlong'> {
  return {
    runMoved({key: task, workerId: worker, expectedMs}, lengthFactor) {
      metrics.movedRuns.inc();
      const elsewhereMs = Math.round(expectedMs * lengthFactor);
      logger.info('late run moved', {
        task,
        worker,
        expectedMs: Math.round(expectedMs),
        elsewhereMs,
      });
    },
    jobOverlong({key: task, workerId: worker, expectedMs}, totalMs, leftMs) {
      metrics.overlongJobs.inc();
      logger.info('job ends as a run takes too long', {
        task,
        worker,
        expectedMs: Math.round(expectedMs),
        totalMs: Math.round(totalMs),
        leftMs: Math.round(leftMs),
      });
    },
  };
}
