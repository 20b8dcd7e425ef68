/**
 * Formats log lines. Collectors keep a limited number of bytes of each process,
 * so a line leaves out what its collector or its message says as well: the
 * program, host and process, the component, the date, and the usual level.
 */
import bunyan from 'bunyan';
import type {OmittedLines} from './message_quota.js';

/** Position of the time of day in a date's ISO text, without the final `Z`. */
const TIME_OF_DAY_START = 'YYYY-MM-DDT'.length;
const TIME_OF_DAY_END = -1;

/** Maximum length of a field's text, in characters. */
const MAX_TEXT_LENGTH = 2_000;

/** A record as bunyan creates it. */
export interface LogRecord {
  readonly time: Date;
  readonly level: number;
  readonly msg: string;
  readonly name: string;
  readonly hostname: string;
  readonly pid: number;
  readonly v: number;
  readonly [field: string]: unknown;
}

/** Formats one line: time of day (UTC), level unless `info`, message, fields. */
export function formatLine(record: LogRecord): string {
  const {time, level, msg} = record;
  const line = {
    time: formatTimeOfDay(time),
    level: level === bunyan.INFO ? undefined : level,
    msg,
    ...selectFields(record),
  };
  return `${JSON.stringify(line)}\n`;
}

/** Formats the line about lines of one message that were left out. */
export function formatOmission(
  time: Date,
  {message, count}: OmittedLines,
): string {
  const line = {
    time: formatTimeOfDay(time),
    level: bunyan.WARN,
    msg: 'log: lines left out',
    of: message,
    count,
  };
  return `${JSON.stringify(line)}\n`;
}

function formatTimeOfDay(time: Date): string {
  return time.toISOString().slice(TIME_OF_DAY_START, TIME_OF_DAY_END);
}

/** The names of the fields that bunyan adds to each record. */
const bunyanFields: ReadonlySet<string> = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'msg',
  'time',
  'v',
]);

function selectFields(record: LogRecord): Record<string, unknown> {
  const entries = Object.entries(record);
  return Object.fromEntries(
    entries
      .filter(([name]) => !bunyanFields.has(name))
      .map(([name, value]) => [name, shorten(value)]),
  );
}

/** Cuts a long text, and says how much of it is missing. */
function shorten(value: unknown): unknown {
  if (typeof value !== 'string' || value.length <= MAX_TEXT_LENGTH)
    return value;
  const missing = value.length - MAX_TEXT_LENGTH;
  return `${value.slice(0, MAX_TEXT_LENGTH)}… ${missing} more characters`;
}
