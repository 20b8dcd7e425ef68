/**
 * Writes log lines without ever making the process wait. Node writes to a pipe
 * synchronously, so a reader that stops would stop the program; here lines are
 * kept in memory up to a bound, and what does not fit is counted and left out.
 * Lines of a moment leave in one write, as each write also wakes a thread.
 */
import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Most text that waits to be written, in bytes. */
const MOST_WAITING_BYTES = 512 * 1024;
/** Most lines a second; what is over is counted and left out. */
const MOST_LINES_PER_S = 400;
const MILLIS_PER_SECOND = 1000;
/** How long lines are gathered for one write, in ms. */
const GATHER_MS = 20;

/** Writes bytes to where the log goes, as `fs.write` does. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** A stream for loggers that never blocks and never grows without bound. */
export class BoundedOutput extends Writable {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  /** Whether a write is due or under way. */
  private isWriting = false;
  private leftOut = 0;
  private secondBegan = 0;
  private linesThisSecond = 0;

  constructor(
    private readonly writeBytes: WriteBytes,
    private readonly readClock: () => number = () => performance.now(),
  ) {
    super({decodeStrings: false});
  }

  /** Takes one line. */
  override _write(
    line: Buffer | string,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.take(Buffer.from(line));
    done();
  }

  private take(line: Buffer): void {
    const now = this.readClock();
    if (now - this.secondBegan >= MILLIS_PER_SECOND) this.beginSecond(now);
    this.linesThisSecond += 1;
    const isTooMuch =
      this.linesThisSecond > MOST_LINES_PER_S ||
      this.waitingBytes + line.length > MOST_WAITING_BYTES;
    if (isTooMuch) {
      this.leftOut += 1;
      return;
    }
    this.append(line);
  }

  private beginSecond(now: number): void {
    this.secondBegan = now;
    this.linesThisSecond = 0;
    if (this.leftOut === 0) return;
    const line = {level: 40, msg: 'log: lines left out', count: this.leftOut};
    this.leftOut = 0;
    this.append(Buffer.from(`${JSON.stringify(line)}\n`));
  }

  private append(line: Buffer): void {
    this.waiting.push(line);
    this.waitingBytes += line.length;
    if (!this.isWriting) this.flushSoon();
  }

  private flushSoon(): void {
    this.isWriting = true;
    setTimeout(() => this.flush(), GATHER_MS);
  }

  private flush(): void {
    const bytes = Buffer.concat(this.waiting);
    this.waiting = [];
    this.waitingBytes = 0;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      // A log that can't be written has nowhere to be reported.
      const isDone = error !== null || written >= bytes.length;
      if (!isDone) return this.writeAll(bytes.subarray(written));
      this.isWriting = false;
      if (this.waiting.length > 0) this.flushSoon();
    });
  }
}

const STANDARD_OUTPUT = 1;

/** The standard output of this process. */
export function openStandardOutput(): BoundedOutput {
  return new BoundedOutput((bytes, done) =>
    write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, done),
  );
}
