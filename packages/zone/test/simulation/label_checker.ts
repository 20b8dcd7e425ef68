/** Checks that tasks start on workers with the label that they require. */
import type {Timeline} from './timeline.js';
import type {StartMessage} from './worker_messages.js';
import type {WorkerProcess} from './worker_process.js';

/** The label that some workers have and some jobs require. */
export const REQUIRED_LABEL = 'special';
/** Payload of jobs whose tasks require the label. */
export const LABELLED_PAYLOAD = 'labelled';

/** How far back the timeline of a violation goes, in ms. */
const TIMELINE_WINDOW_MS = 15_000;

/** Reports starts that were sent to a known process without the label. */
export class LabelChecker {
  readonly violations: string[] = [];
  /** Number of starts of tasks that require the label. */
  startCount = 0;

  constructor(private readonly timeline: Timeline) {}

  /** Records the start of a task in a process of a worker. */
  recordStart(
    worker: string,
    {bornAt, kind}: WorkerProcess,
    {task, run, payload, knownBornAt}: StartMessage,
  ): void {
    if (payload !== LABELLED_PAYLOAD) return;
    this.startCount += 1;
    if (kind.labels.includes(REQUIRED_LABEL) || knownBornAt !== bornAt) return;
    const text = `${task}: run ${run} starts on ${worker} without its label`;
    this.timeline.add('checker', `violation: ${text}`);
    const [job = ''] = task.split('.');
    const from = this.timeline.now - TIMELINE_WINDOW_MS;
    this.violations.push(`${text}\n${this.timeline.format(job, from)}`);
  }
}
