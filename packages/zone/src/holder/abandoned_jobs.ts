/**
 * The jobs that still run here though nobody waits for them, as they are told to
 * other zones, to which their callers may send them again.
 */
import type {Dispatcher} from '@goldcrestpier/dispatch';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {AbandonedJobList, ZoneHeartbeat} from '../protocol/index.js';

/** Runs are normally stopped within this time and are not told, in ms. */
const TELL_AFTER_MS = 100;
/** Maximum number of jobs that are told, as many as a holder keeps. */
const MAX_TOLD = 4_000;

/** Dependencies of the abandoned jobs. */
export interface AbandonedJobsOptions {
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
}

/** Tracks since when jobs have been abandoned. */
export class AbandonedJobs {
  private readonly abandonedSince = new Map<string, Millis>();
  private toldJobIds: readonly string[] = [];
  private leftOut = 0;
  private revisionNumber = 0;

  constructor(private readonly options: AbandonedJobsOptions) {}

  /** Changes whenever other zones have to be told of another job. */
  get revision(): number {
    return this.revisionNumber;
  }

  /** IDs of the jobs that other zones have to know. */
  get told(): readonly string[] {
    return this.toldJobIds;
  }

  /** Lists those jobs in a message to another zone; what is empty is left out. */
  report(): AbandonedJobList {
    const {toldJobIds: abandonedJobs, leftOut: abandonedJobsLeftOut} = this;
    return {
      ...(abandonedJobs.length > 0 && {abandonedJobs}),
      ...(abandonedJobsLeftOut > 0 && {abandonedJobsLeftOut}),
    };
  }

  /** Replaces the jobs that are abandoned now, with the times since when. */
  update(jobs: ReadonlyMap<string, Millis>, now: Millis): void {
    for (const jobId of this.abandonedSince.keys()) {
      if (!jobs.has(jobId)) this.abandonedSince.delete(jobId);
    }
    for (const [jobId, since] of jobs) {
      const knownSince = this.abandonedSince.get(jobId) ?? now;
      this.abandonedSince.set(jobId, Math.min(knownSince, since));
    }
    const before = new Set(this.toldJobIds);
    const due = [...this.abandonedSince]
      .filter(([, since]) => now - since >= TELL_AFTER_MS)
      .map(([jobId]) => jobId);
    this.toldJobIds = due.slice(0, MAX_TOLD);
    const isCutAnew = this.recordLeftOut(due.length - this.toldJobIds.length);
    if (isCutAnew || this.toldJobIds.some(jobId => !before.has(jobId)))
      this.revisionNumber += 1;
  }

  /** Records how many jobs don't fit the list; true if none did before. */
  private recordLeftOut(leftOut: number): boolean {
    const {logger, metrics} = this.options;
    const previous = this.leftOut;
    this.leftOut = leftOut;
    if (leftOut > previous) metrics.untoldAbandonedJobs.inc(leftOut - previous);
    if (leftOut === 0 || previous > 0) return false;
    logger.error('list of abandoned jobs is cut', {told: MAX_TOLD, leftOut});
    return true;
  }
}

/** Passes on the jobs in another zone's heartbeat that nobody waits for there. */
export function reportAbandonedJobs(
  dispatcher: Dispatcher,
  message: ZoneHeartbeat,
  now: Millis,
): void {
  const {zone, claim, abandonedJobs: jobIds = []} = message;
  if (claim === undefined) return;
  const isCut = (message.abandonedJobsLeftOut ?? 0) > 0;
  const report = {zone, token: claim.token, jobIds, isCut};
  dispatcher.handleAbandonedJobs(report, now);
}
