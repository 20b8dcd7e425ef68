/**
 * Whether runs that an earlier holder started may still go on that are not known
 * here. A task is started only when that is excluded.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from '../jobs/index.js';
import {
  DELEGATED_RUN_MAX_MS,
  FORMER_HOLDER_STOP_MS,
  computeLeaseExpiry,
} from '../options.js';
import type {Registry} from '../registry.js';

/** The runs that earlier holders may have left, as far as one holder knows. */
export class EarlierRuns {
  /**
   * Time after the first answer of a worker to this holder after which runs on
   * workers, listed or not, have ended. An earlier holder may keep starting tasks
   * until a worker accepts this holder's token, even if this holder claimed the
   * zone long before.
   */
  private readonly workersMs: Millis;

  constructor(
    private readonly registry: Registry,
    leaseMs: Millis,
  ) {
    this.workersMs = computeLeaseExpiry(FORMER_HOLDER_STOP_MS, leaseMs);
  }

  /** Whether every run of the job that may still go on is known here. */
  areAllKnown(record: JobRecord, now: Millis): boolean {
    if (!record.mayHaveUnknownRuns) return true;
    if (!this.isOfCurrentHolder(record, now)) return false;
    const {registry} = this;
    const areOnWorkersKnown =
      !registry.hasUnfencedWorkers ||
      hasElapsedSinceResumption(record, this.workersMs, now);
    const areDelegatedKnown =
      registry.delegationSurvey.isComplete ||
      (this.hasElapsed(DELEGATED_RUN_MAX_MS, now) &&
        hasElapsedSinceResumption(record, DELEGATED_RUN_MAX_MS, now));
    return this.haveEnded(now) && areOnWorkersKnown && areDelegatedKnown;
  }

  /**
   * Whether every run that an earlier holder started on a worker has certainly
   * ended. It may run on a worker that is in no list, so only the elapsed time
   * proves it.
   */
  haveEnded(now: Millis): boolean {
    return this.hasElapsed(this.workersMs, now);
  }

  /**
   * Whether a reattachment reached the current holder. One that was replaced
   * before would know by now; its successor may have started the run.
   */
  private isOfCurrentHolder(record: JobRecord, now: Millis): boolean {
    if (!record.isReattached) return true;
    return hasElapsedSinceResumption(record, FORMER_HOLDER_STOP_MS, now);
  }

  private hasElapsed(durationMs: Millis, now: Millis): boolean {
    const {firstReportAt} = this.registry;
    return firstReportAt !== undefined && now >= firstReportAt + durationMs;
  }
}

/**
 * Whether this time has passed since the job was resumed. Until then the holder
 * that its owner had followed may have started tasks where this one is not
 * known: on workers, or in zones, that have not answered it.
 */
function hasElapsedSinceResumption(
  {resumedAt}: JobRecord,
  durationMs: Millis,
  now: Millis,
): boolean {
  return resumedAt === undefined || now >= resumedAt + durationMs;
}
