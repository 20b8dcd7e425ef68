import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {BLOCK_BYTES, BlockPool} from '../src/block_pool.js';
import {ReceivedBytes} from '../src/received_bytes.js';

/** Takes all bytes in pieces of a size. */
function takeAll(received: ReceivedBytes, pieceBytes: number): Buffer {
  const pieces: Buffer[] = [];
  for (;;) {
    const piece = received.take(pieceBytes);
    if (piece === undefined) return Buffer.concat(pieces);
    assert.ok(piece.length > 0 && piece.length <= pieceBytes);
    pieces.push(piece);
  }
}

// Guards against bytes that are lost, doubled or overwritten in blocks used again.
test('bytes are taken as they were received, whatever their pieces', () => {
  const pool = new BlockPool();
  const chunks = fc.array(fc.uint8Array({minLength: 1, maxLength: 9_000}), {
    maxLength: 8,
  });
  fc.assert(
    fc.property(chunks, fc.integer({min: 1, max: 5_000}), (parts, size) => {
      const received = new ReceivedBytes(pool);
      const early: Buffer[] = [];
      for (const part of parts) {
        const before = received.heldBytes;
        const growth = received.findGrowth(part.length);
        received.append(Buffer.from(part));
        assert.equal(received.heldBytes, before + growth);
        const piece = received.take(size);
        if (piece !== undefined) early.push(piece);
      }
      const all = Buffer.concat([...early, takeAll(received, size)]);
      assert.deepEqual(all, Buffer.concat(parts));
      assert.equal(received.heldBytes, 0);
    }),
    {seed: 1, numRuns: 200},
  );
});

// Guards against a piece that changes when its block is used again.
test('a piece keeps its bytes while its block is used by another client', () => {
  const pool = new BlockPool();
  const first = new ReceivedBytes(pool);
  first.append(Buffer.alloc(BLOCK_BYTES, 'a'));
  const piece = first.take(BLOCK_BYTES);
  new ReceivedBytes(pool).append(Buffer.alloc(BLOCK_BYTES, 'b'));
  assert.deepEqual(piece, Buffer.alloc(BLOCK_BYTES, 'a'));
});
