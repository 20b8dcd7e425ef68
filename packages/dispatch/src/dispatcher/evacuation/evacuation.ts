/**
 * Whether the operator evacuates this zone. While it is evacuated nothing starts
 * on its workers, and all tasks of its callers' jobs are delegated.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Maximum number of runs in other zones; each is a pending call to one. */
const MAX_DELEGATED_RUNS = 256;
/**
 * The same while all tasks are delegated. A zone starts up to 800 tasks a second,
 * and the call for each ends within its job's time and a margin, about 2 s.
 */
const MAX_EVACUATED_RUNS = 2_048;
/**
 * Pause before a job's tasks are delegated again to a zone that has refused one,
 * in ms. Reported capacity does not tell labels, so that a zone with capacity may
 * refuse the same task at each attempt.
 */
const REFUSAL_PAUSE_MS = 50;

/** The state of the evacuation, and the refusals of other zones during it. */
export class Evacuation {
  private active = false;
  /** When a zone last refused a task of a job, the oldest first. */
  private readonly refusals = new Map<string, Millis>();

  /** Whether nothing may start on the workers of this zone. */
  get isActive(): boolean {
    return this.active;
  }

  /** Sets whether the zone is evacuated. */
  update(isActive: boolean): void {
    this.active = isActive;
    if (!isActive) this.refusals.clear();
  }

  /** Maximum number of runs in other zones. */
  get maxDelegatedRuns(): number {
    return this.active ? MAX_EVACUATED_RUNS : MAX_DELEGATED_RUNS;
  }

  /** Records that a zone has refused a task of the job. */
  recordRefusal(jobId: string, zone: string, now: Millis): void {
    if (!this.active) return;
    for (const [key, at] of this.refusals) {
      if (now - at < REFUSAL_PAUSE_MS) break;
      this.refusals.delete(key);
    }
    const key = toKey(jobId, zone);
    this.refusals.delete(key);
    this.refusals.set(key, now);
  }

  /** Whether tasks of the job may be delegated to the zone now. */
  mayDelegate(jobId: string, zone: string, now: Millis): boolean {
    if (this.refusals.size === 0) return true;
    const at = this.refusals.get(toKey(jobId, zone));
    return at === undefined || now - at >= REFUSAL_PAUSE_MS;
  }
}

function toKey(jobId: string, zone: string): string {
  return `${zone} ${jobId}`;
}
