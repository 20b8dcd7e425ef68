/**
 * Writes log lines without blocking the process. Node.js writes to a pipe
 * synchronously, so a reader that stalls would block the program. Here lines are
 * buffered in memory up to a limit; lines over the limit are dropped and counted.
 * Lines that arrive close together are batched into one write, because each
 * write also wakes a thread.
 */
import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Limit of the buffered lines that wait to be written, in bytes. */
const MAX_PENDING_BYTES = 512 * 1024;
/** Limit of lines per second; lines over it are dropped and counted. */
const MAX_LINES_PER_SECOND = 400;
const MILLIS_PER_SECOND = 1000;
/** Delay during which lines are batched into one write, in ms. */
const BATCH_DELAY_MS = 20;

/**
 * Writes bytes to the destination of the log. Like `fs.write`, it may write only
 * some of them and passes the number of written bytes to `done`.
 */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** A log stream that never blocks and buffers a limited number of bytes. */
export class BoundedOutput extends Writable {
  private pendingLines: Buffer[] = [];
  private pendingBytes = 0;
  /** Whether a write is scheduled or in progress. */
  private isWriting = false;
  private droppedLines = 0;
  private secondStartedAt = 0;
  private linesThisSecond = 0;

  constructor(
    private readonly writeBytes: WriteBytes,
    private readonly readClock: () => number = () => performance.now(),
  ) {
    super({decodeStrings: false});
  }

  /** Buffers one line, or drops it when a limit is reached. */
  override _write(
    line: Buffer | string,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.acceptLine(Buffer.from(line));
    done();
  }

  private acceptLine(line: Buffer): void {
    const now = this.readClock();
    if (now - this.secondStartedAt >= MILLIS_PER_SECOND) this.startSecond(now);
    this.linesThisSecond += 1;
    const isOverLimit =
      this.linesThisSecond > MAX_LINES_PER_SECOND ||
      this.pendingBytes + line.length > MAX_PENDING_BYTES;
    if (isOverLimit) {
      this.droppedLines += 1;
      return;
    }
    this.append(line);
  }

  private startSecond(now: number): void {
    this.secondStartedAt = now;
    this.linesThisSecond = 0;
    if (this.droppedLines === 0) return;
    const line = {
      level: 40,
      msg: 'log: lines left out',
      count: this.droppedLines,
    };
    this.droppedLines = 0;
    this.append(Buffer.from(`${JSON.stringify(line)}\n`));
  }

  private append(line: Buffer): void {
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
    if (!this.isWriting) this.scheduleFlush();
  }

  private scheduleFlush(): void {
    this.isWriting = true;
    setTimeout(() => this.flush(), BATCH_DELAY_MS);
  }

  private flush(): void {
    const bytes = Buffer.concat(this.pendingLines);
    this.pendingLines = [];
    this.pendingBytes = 0;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      // A write error is ignored: there is no other place to report it.
      const isDone = error !== null || written >= bytes.length;
      if (!isDone) return this.writeAll(bytes.subarray(written));
      this.isWriting = false;
      if (this.pendingLines.length > 0) this.scheduleFlush();
    });
  }
}

const STDOUT_FD = 1;

/** Opens the standard output of this process as a non-blocking log stream. */
export function openStandardOutput(): BoundedOutput {
  return new BoundedOutput((bytes, done) =>
    write(STDOUT_FD, bytes, 0, bytes.length, null, done),
  );
}
