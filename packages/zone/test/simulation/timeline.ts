/** Records the events of a simulation and prints those before a violation. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Scheduler} from './scheduler.js';

interface Line {
  readonly at: Millis;
  readonly source: string;
  /** A sentence, or a log line as JSON. */
  readonly text: string;
}

/** Parts of the log messages on holder changes and on delegated tasks. */
const relevantLogTexts = [
  'claiming the workers',
  'role changed',
  'higher claim',
  'higher token',
  'received the tasks that another zone runs',
  'no complete list of the tasks that another zone runs',
];
const MILLIS_PER_SECOND = 1_000;

/** All recorded lines of a simulation. */
export class Timeline {
  private readonly lines: Line[] = [];

  constructor(private readonly scheduler: Scheduler) {}

  /** The current time. */
  get now(): Millis {
    return this.scheduler.now;
  }

  /** Adds a line at the current time. */
  add(source: string, text: string): void {
    this.lines.push({at: this.scheduler.now, source, text});
  }

  /** Formats the lines on a job, on faults and on holder changes since `from`. */
  format(job: string, from: Millis): string {
    return this.lines
      .filter(line => line.at >= from && isRelevant(line, job))
      .map(formatLine)
      .join('\n');
  }
}

function isRelevant({text, source}: Line, job: string): boolean {
  if (source === 'fault' || text.includes(job)) return true;
  return relevantLogTexts.some(part => text.includes(part));
}

function formatLine({at, source, text}: Line): string {
  const seconds = (at / MILLIS_PER_SECOND).toFixed(3);
  return `${seconds} ${source}: ${formatText(text)}`;
}

function formatText(text: string): string {
  if (!text.startsWith('{')) return text;
  const {msg, ...rest} = JSON.parse(text) as Record<string, unknown>;
  const hidden = ['level', 'time'];
  const fields = Object.entries(rest)
    .filter(([key]) => !hidden.includes(key))
    .map(([key, value]) => `${key}=${String(value)}`);
  return `${String(msg)} ${fields.join(' ')}`;
}
