/** What happened in a play, to be printed when it broke the rule. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Scheduler} from './scheduler.js';

interface Line {
  readonly at: Millis;
  readonly who: string;
  /** A sentence, or a line of a log as JSON. */
  readonly text: string;
}

/** Lines of the product's log that tell who holds and what was known. */
const telling = [
  'claiming the workers',
  'role changed',
  'higher claim',
  'higher token',
  'zone surveyed',
  'zone not surveyed',
];
const millisPerSecond = 1_000;

/** Keeps all lines of a play. */
export class TimeLine {
  private readonly lines: Line[] = [];

  constructor(private readonly scheduler: Scheduler) {}

  /** Adds a line. */
  add(who: string, text: string): void {
    this.lines.push({at: this.scheduler.now, who, text});
  }

  /** Lines of a job, of faults and of changes of holders, up to now. */
  format(job: string, from: Millis): string {
    return this.lines
      .filter(line => line.at >= from && isTelling(line, job))
      .map(formatLine)
      .join('\n');
  }
}

function isTelling({text, who}: Line, job: string): boolean {
  if (who === 'fault' || text.includes(job)) return true;
  return telling.some(part => text.includes(part));
}

function formatLine({at, who, text}: Line): string {
  const seconds = (at / millisPerSecond).toFixed(3);
  return `${seconds} ${who}: ${formatText(text)}`;
}

function formatText(text: string): string {
  if (!text.startsWith('{')) return text;
  const {msg, ...rest} = JSON.parse(text) as Record<string, unknown>;
  const hidden = ['name', 'hostname', 'pid', 'part', 'level', 'time', 'v'];
  const fields = Object.entries(rest)
    .filter(([key]) => !hidden.includes(key))
    .map(([key, value]) => `${key}=${String(value)}`);
  return `${String(msg)} ${fields.join(' ')}`;
}
