/**
 * Jobs of which other zones may still run tasks that nobody waits for: their
 * callers, owners or holders were lost. A caller that lost its answer sends its
 * job again, possibly to this zone, which must not start it beside those runs.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Longest time that an abandoned run goes on after the last report, in ms. */
const RETENTION_MS = 2_000;

/** The abandoned jobs that the holder of another zone reports. */
export interface AbandonedJobReport {
  readonly zone: string;
  /** Fencing token of the reporting holder. */
  readonly token: number;
  readonly jobIds: readonly string[];
  /** Whether there are more than the report lists. */
  readonly isCut: boolean;
}

interface Reported {
  readonly token: number;
  readonly reportedAt: Millis;
}

/** Keeps the abandoned jobs that the holders of other zones have reported. */
export class RemoteRuns {
  /** By zone, then by job ID. */
  private readonly byZone = new Map<string, Map<string, Reported>>();
  /** The latest report that was cut, by zone. */
  private readonly cutByZone = new Map<string, Reported>();

  /**
   * Records a report, which replaces earlier ones of the same holder. What a
   * former holder reported stays, as its successor may not know of it yet.
   */
  record({zone, token, jobIds, isCut}: AbandonedJobReport, now: Millis): void {
    const reported = this.byZone.get(zone) ?? new Map<string, Reported>();
    for (const [jobId, job] of reported) {
      if (job.token === token || isExpired(job, now)) reported.delete(jobId);
    }
    for (const jobId of jobIds) reported.set(jobId, {token, reportedAt: now});
    this.byZone.set(zone, reported);
    if (isCut) this.cutByZone.set(zone, {token, reportedAt: now});
    else if (this.cutByZone.get(zone)?.token === token)
      this.cutByZone.delete(zone);
  }

  /** Whether another zone may run tasks of the job, listed or not. */
  mayRun(jobId: string, now: Millis): boolean {
    for (const report of this.cutByZone.values()) {
      if (!isExpired(report, now)) return true;
    }
    for (const reported of this.byZone.values()) {
      const job = reported.get(jobId);
      if (job !== undefined && !isExpired(job, now)) return true;
    }
    return false;
  }
}

function isExpired({reportedAt}: Reported, now: Millis): boolean {
  return now - reportedAt >= RETENTION_MS;
}
