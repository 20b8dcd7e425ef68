/**
 * Structured logging (bunyan). Each component gets a logger whose messages start
 * with the name of the component. Payloads are never logged.
 */
import bunyan from 'bunyan';
import {readClock} from '../clock/index.js';
import {formatLine, formatOmission, type LogRecord} from './format_line.js';
import {MessageQuota} from './message_quota.js';

/** The components that log. The value is the prefix of their messages. */
export enum LogPart {
  Entry = 'entry',
  Callers = 'callers',
  Operators = 'operators',
  Peers = 'peers',
  Membership = 'membership',
  Platform = 'platform',
  Settings = 'settings',
  Jobs = 'jobs',
  Placement = 'placement',
  Holding = 'holding',
  Backends = 'backends',
  Standin = 'standin',
}

/** The lowest level that a component logs; `Silent` disables its log. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** Structured fields of a log line: ids and numbers, never payloads. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** The logger of one component. Messages are short sentences. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Creates the loggers of a process and changes their levels at run time. */
export class Logs {
  private readonly loggers = new Map<LogPart, bunyan>();
  private readonly quota = new MessageQuota();

  constructor(
    private readonly program: string,
    private readonly level: LogLevel,
    private readonly stream: NodeJS.WritableStream = process.stderr,
  ) {}

  /** Returns the logger of a component. */
  forPart(part: LogPart): Logger {
    const logger = this.loggers.get(part) ?? this.createLogger(part);
    return {
      debug: (message, fields) =>
        logger.debug(fields ?? {}, formatMessage(part, message)),
      info: (message, fields) =>
        logger.info(fields ?? {}, formatMessage(part, message)),
      warn: (message, fields) =>
        logger.warn(fields ?? {}, formatMessage(part, message)),
      error: (message, fields) =>
        logger.error(fields ?? {}, formatMessage(part, message)),
    };
  }

  /** Sets the level of a component; loggers already returned follow it. */
  setLevel(part: LogPart, level: LogLevel): void {
    const logger = this.loggers.get(part) ?? this.createLogger(part);
    logger.level(toBunyanLevel(level));
  }

  /** Formats a line only if it is written. */
  private write(record: LogRecord): void {
    for (const omitted of this.quota.refill(readClock()))
      this.stream.write(formatOmission(record.time, omitted));
    if (this.quota.take(record.msg)) this.stream.write(formatLine(record));
  }

  private createLogger(part: LogPart): bunyan {
    const write = (record: LogRecord) => this.write(record);
    const logger = bunyan.createLogger({
      name: this.program,
      streams: [
        {
          type: 'raw',
          level: toBunyanLevel(this.level),
          stream: {write} as unknown as NodeJS.WritableStream,
        },
      ],
    });
    this.loggers.set(part, logger);
    return logger;
  }
}

/** A logger that discards all messages, for tests. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function formatMessage(part: LogPart, message: string): string {
  return `${part}: ${message}`;
}

function toBunyanLevel(level: LogLevel): bunyan.LogLevel {
  return level === LogLevel.Silent ? bunyan.FATAL + 1 : level;
}
