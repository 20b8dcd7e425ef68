/** Collects the chunks of a body in one buffer that grows with it. */

/** Capacity of the first buffer, in bytes. */
const FIRST_CAPACITY = 1_024;

/**
 * Copies chunks into one buffer. Keeping the chunks themselves would cost an
 * object for each of them, and keep the read buffers that they share.
 */
export class BodyBuffer {
  private buffer = Buffer.alloc(0);
  private size = 0;

  /** A body has `limitBytes` at most; one of known size gets no more capacity. */
  constructor(
    private readonly limitBytes: number,
    private readonly expectedBytes = limitBytes,
  ) {}

  /** Additional capacity needed for a chunk; Infinity if it exceeds the limit. */
  findGrowth(chunkBytes: number): number {
    const needed = this.size + chunkBytes;
    if (needed > this.limitBytes) return Infinity;
    if (needed <= this.buffer.length) return 0;
    const doubled = Math.max(FIRST_CAPACITY, this.buffer.length * 2);
    const limited = Math.min(doubled, this.expectedBytes, this.limitBytes);
    return Math.max(limited, needed) - this.buffer.length;
  }

  /** Appends a chunk; it has to be within the limit. */
  append(chunk: Buffer): void {
    const growth = this.findGrowth(chunk.length);
    if (growth > 0) {
      const larger = Buffer.allocUnsafeSlow(this.buffer.length + growth);
      this.buffer.copy(larger, 0, 0, this.size);
      this.buffer = larger;
    }
    chunk.copy(this.buffer, this.size);
    this.size += chunk.length;
  }

  /** The bytes so far. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.size);
  }
}
