/** Bytes that were read from a socket and are not handed over yet. */
import {BLOCK_BYTES, type BlockPool} from './block_pool.js';

/** Keeps received bytes in their order, in blocks of a pool. */
export class ReceivedBytes {
  private readonly blocks: Buffer[] = [];
  /** Number of bytes of the first block that were taken. */
  private start = 0;
  /** Number of bytes of the last block that are in use. */
  private end = 0;

  constructor(private readonly pool: BlockPool) {}

  /** Memory that the bytes take. */
  get heldBytes(): number {
    return this.blocks.length * BLOCK_BYTES;
  }

  /** Whether there are no bytes. */
  get isEmpty(): boolean {
    return this.blocks.length === 0;
  }

  /** Memory that more bytes would take. */
  findGrowth(bytes: number): number {
    const free = this.isEmpty ? 0 : BLOCK_BYTES - this.end;
    const blocks = Math.ceil(Math.max(0, bytes - free) / BLOCK_BYTES);
    return blocks * BLOCK_BYTES;
  }

  /** Copies received bytes. */
  append(bytes: Buffer): void {
    let copied = 0;
    while (copied < bytes.length) {
      let last = this.blocks.at(-1);
      if (last === undefined || this.end === BLOCK_BYTES) {
        last = this.pool.take();
        this.blocks.push(last);
        this.end = 0;
      }
      const count = bytes.copy(last, this.end, copied);
      this.end += count;
      copied += count;
    }
  }

  /** Takes up to `maxBytes`, as a copy; undefined if there are none. */
  take(maxBytes: number): Buffer | undefined {
    const [first] = this.blocks;
    if (first === undefined) return undefined;
    const isLast = this.blocks.length === 1;
    const available = isLast ? this.end : BLOCK_BYTES;
    const stop = Math.min(this.start + maxBytes, available);
    const piece = Buffer.from(first.subarray(this.start, stop));
    this.start = stop;
    if (stop === available) this.dropFirst(first);
    return piece;
  }

  /** Forgets all bytes. */
  clear(): void {
    for (const block of this.blocks) this.pool.giveBack(block);
    this.blocks.length = 0;
    this.start = 0;
  }

  private dropFirst(first: Buffer): void {
    this.blocks.shift();
    this.start = 0;
    this.pool.giveBack(first);
  }
}
