import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BodyBuffer} from '../src/body/body_buffer.js';

// Guards against a buffer for each chunk, which costs far more than its bytes.
test('a body in one-byte chunks takes at most twice its bytes', () => {
  const body = new BodyBuffer(262_144);
  let capacity = 0;
  for (let index = 0; index < 100_000; index += 1) {
    capacity += body.findGrowth(1);
    body.append(Buffer.from([index % 256]));
  }
  assert.equal(capacity, 131_072);
  assert.equal(body.bytes.length, 100_000);
  assert.ok(body.bytes.every((byte, index) => byte === index % 256));
});

test('a body of known size takes no more, and none grows over the limit', () => {
  const known = new BodyBuffer(262_144, 150);
  assert.equal(known.findGrowth(100), 150);
  const limited = new BodyBuffer(1_500);
  limited.append(Buffer.alloc(1_200));
  assert.deepEqual(
    [300, 301].map(size => limited.findGrowth(size)),
    [300, Infinity],
  );
});

test('a body that is longer than declared keeps all of its bytes', () => {
  const body = new BodyBuffer(1_500, 10);
  body.append(Buffer.alloc(10, 'a'));
  body.append(Buffer.alloc(10, 'b'));
  assert.equal(body.bytes.toString(), 'aaaaaaaaaabbbbbbbbbb');
});
