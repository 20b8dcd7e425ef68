/**
 * The jobs that still run here though nobody waits for them, as they are told to
 * other zones, to which their callers may send them again.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Runs are normally stopped within this time and are not told, in ms. */
const TELL_AFTER_MS = 100;
/** Maximum number of jobs that are told. */
const MAX_TOLD = 1_000;

/** Tracks since when jobs have been abandoned. */
export class AbandonedJobs {
  private readonly abandonedSince = new Map<string, Millis>();
  private toldJobIds: readonly string[] = [];
  private revisionNumber = 0;

  /** Changes whenever other zones have to be told of another job. */
  get revision(): number {
    return this.revisionNumber;
  }

  /** IDs of the jobs that other zones have to know. */
  get told(): readonly string[] {
    return this.toldJobIds;
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
    this.toldJobIds = [...this.abandonedSince]
      .filter(([, since]) => now - since >= TELL_AFTER_MS)
      .map(([jobId]) => jobId)
      .slice(0, MAX_TOLD);
    if (this.toldJobIds.some(jobId => !before.has(jobId)))
      this.revisionNumber += 1;
  }
}
