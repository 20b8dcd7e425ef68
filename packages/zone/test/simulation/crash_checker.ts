/** Checks that tasks which crash workers are not started again and again. */
import type {Timeline} from './timeline.js';

/** Payload of jobs whose first task crashes each worker that starts it. */
export const CRASHING_PAYLOAD = 'crash';

/** Crashes of workers under a task after which its starts are counted. */
const MAX_CRASHES = 3;
/** Maximum number of starts of a task after that many crashes. */
const MAX_LATER_STARTS = 2;

/** Whether the task crashes each worker that starts it. */
export function isCrashingTask(task: string, payload: string): boolean {
  return payload === CRASHING_PAYLOAD && task.endsWith('.0.0.0');
}

/** Counts the crashes that tasks cause, and their starts after those. */
export class CrashChecker {
  readonly violations: string[] = [];
  private readonly crashes = new Map<string, number>();
  private readonly laterStarts = new Map<string, number>();

  constructor(private readonly timeline: Timeline) {}

  /** Number of workers that tasks have crashed. */
  get crashCount(): number {
    let count = 0;
    for (const crashes of this.crashes.values()) count += crashes;
    return count;
  }

  /** Records the start of a task that crashes its worker. */
  recordStart(task: string): void {
    if ((this.crashes.get(task) ?? 0) < MAX_CRASHES) return;
    const starts = (this.laterStarts.get(task) ?? 0) + 1;
    this.laterStarts.set(task, starts);
    if (starts <= MAX_LATER_STARTS) return;
    const text = `${task} is started ${starts} times after ${MAX_CRASHES} crashes`;
    const [job = ''] = task.split('.');
    this.violations.push(`${text}\n${this.timeline.format(job, 0)}`);
  }

  /** Records that the task has crashed its worker. */
  recordCrash(task: string): void {
    this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1);
  }
}
