/**
 * Blocks of memory that are used again. Buffers of their own for what each client
 * sent would stay until the garbage is collected, long after their clients are
 * closed: far more than what is counted.
 */

/** Size of a block, in bytes. */
export const BLOCK_BYTES = 4_096;
/** Maximum number of blocks that are kept for use: 4 MB. */
const MAX_SPARE_BLOCKS = 1_024;

/** Lends blocks. */
export class BlockPool {
  private readonly spare: Buffer[] = [];

  /** Lends a block, whose content is undefined. */
  take(): Buffer {
    return this.spare.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back a block, which nothing refers to any more. */
  giveBack(block: Buffer): void {
    if (this.spare.length < MAX_SPARE_BLOCKS) this.spare.push(block);
  }
}
