/**
 * Checks that no task runs for a job whose callers have all left so long ago that
 * one of them may have sent it again, to an instance that knows nothing of it.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {ActiveRun} from './checker.js';
import type {Timeline} from './timeline.js';

/** How far back the timeline of a violation goes, in ms. */
const TIMELINE_WINDOW_MS = 8_000;

/** A run that went on without a caller. */
export interface UnattendedRun {
  readonly text: string;
  readonly timeline: string;
}

interface Attendance {
  waiting: number;
  leftAt: Millis;
}

/** Receives arrivals and departures of callers, and the ends of runs. */
export class AttendanceChecker {
  readonly violations: UnattendedRun[] = [];
  private readonly jobs = new Map<string, Attendance>();

  /** `limitMs`: how long a run may go on after the last caller has left. */
  constructor(
    private readonly timeline: Timeline,
    private readonly limitMs: Millis,
  ) {}

  /** Records that a caller begins to wait for a job. */
  recordArrival(jobId: string): void {
    const job = this.jobs.get(jobId) ?? {waiting: 0, leftAt: -Infinity};
    job.waiting += 1;
    this.jobs.set(jobId, job);
  }

  /** Records that a caller has left or has got its answer. */
  recordDeparture(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job === undefined) return;
    job.waiting -= 1;
    job.leftAt = this.timeline.now;
  }

  /** Records the end of a run. */
  recordEnd(task: string, {worker, run}: ActiveRun): void {
    const ms = this.findUnattendedMs(task);
    if (ms > this.limitMs)
      this.report(task, `run ${run} ends on ${worker}`, ms);
  }

  /** Time for which no caller has waited for the task's job. */
  private findUnattendedMs(task: string): Millis {
    const [jobId = ''] = task.split('.');
    const job = this.jobs.get(jobId);
    if (job === undefined || job.waiting > 0) return 0;
    return this.timeline.now - job.leftAt;
  }

  private report(task: string, what: string, ms: Millis): void {
    const at = this.timeline.now;
    const text = `${task}: ${what} at ${Math.round(at)} ms, ${Math.round(ms)} ms after its last caller left`;
    const [jobId = ''] = task.split('.');
    const timeline = this.timeline.format(jobId, at - TIMELINE_WINDOW_MS);
    this.violations.push({text, timeline});
  }
}
