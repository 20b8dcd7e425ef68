/**
 * Structured logs (bunyan). Each part is handed a logger with its own fixed
 * prefix; payloads are never logged.
 */
import bunyan from 'bunyan';

/** The parts that log, each with its fixed prefix. */
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

/** How much a part says. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** Ids and figures that go with a line; never a payload. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** A labelled logger, passed in to each part. Messages are short sentences. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Makes the loggers of one process and changes their levels while it runs. */
export class Logs {
  private readonly loggers = new Map<LogPart, bunyan>();

  constructor(
    private readonly program: string,
    private readonly level: LogLevel,
    private readonly stream: NodeJS.WritableStream = process.stderr,
  ) {}

  /** The logger of one part. */
  forPart(part: LogPart): Logger {
    const logger = this.loggers.get(part) ?? this.createLogger(part);
    return {
      debug: (message, fields) =>
        logger.debug(fields ?? {}, say(part, message)),
      info: (message, fields) => logger.info(fields ?? {}, say(part, message)),
      warn: (message, fields) => logger.warn(fields ?? {}, say(part, message)),
      error: (message, fields) =>
        logger.error(fields ?? {}, say(part, message)),
    };
  }

  /** Sets the level of one part from now on. */
  setLevel(part: LogPart, level: LogLevel): void {
    const logger = this.loggers.get(part) ?? this.createLogger(part);
    logger.level(toBunyanLevel(level));
  }

  private createLogger(part: LogPart): bunyan {
    const logger = bunyan.createLogger({
      name: this.program,
      part,
      level: toBunyanLevel(this.level),
      stream: this.stream,
    });
    this.loggers.set(part, logger);
    return logger;
  }
}

/** A logger that says nothing, for tests. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function say(part: LogPart, message: string): string {
  return `${part}: ${message}`;
}

function toBunyanLevel(level: LogLevel): bunyan.LogLevel {
  return level === LogLevel.Silent ? bunyan.FATAL + 1 : level;
}
