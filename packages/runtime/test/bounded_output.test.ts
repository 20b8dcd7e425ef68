import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BoundedOutput, sleep} from '../src/index.js';

/** Longer than the delay during which lines are batched. */
const FLUSH_WAIT_MS = 200;

interface Fixture {
  readonly output: BoundedOutput;
  readonly writes: string[];
}

/** Creates an output whose writes each take `writeMs`. */
function createFixture(
  writeMs: number,
  readClock: () => number = () => 0,
): Fixture {
  const writes: string[] = [];
  const output = new BoundedOutput((bytes, done) => {
    writes.push(bytes.toString('utf8'));
    setTimeout(() => done(null, bytes.length), writeMs);
  }, readClock);
  return {output, writes};
}

test('lines that arrive close together are written in one write, in order', async () => {
  const {output, writes} = createFixture(0);
  output.write('one\n');
  await sleep(1);
  output.write('two\n');
  output.write('three\n');
  await sleep(FLUSH_WAIT_MS);
  assert.deepEqual(writes, ['one\ntwo\nthree\n']);
});

test('a line that arrives after a write is written by the next one', async () => {
  const {output, writes} = createFixture(0);
  output.write('one\n');
  await sleep(FLUSH_WAIT_MS);
  output.write('two\n');
  await sleep(FLUSH_WAIT_MS);
  assert.deepEqual(writes, ['one\n', 'two\n']);
});

test('lines that arrive during a write are written after it', async () => {
  const {output, writes} = createFixture(2 * FLUSH_WAIT_MS);
  output.write('one\n');
  await sleep(FLUSH_WAIT_MS);
  output.write('two\n');
  output.write('three\n');
  assert.deepEqual(writes, ['one\n']);
  await sleep(3 * FLUSH_WAIT_MS);
  assert.deepEqual(writes, ['one\n', 'two\nthree\n']);
});

test('a partial write is followed by a write of the remaining bytes', async () => {
  const writes: string[] = [];
  const output = new BoundedOutput((bytes, done) => {
    writes.push(bytes.toString('utf8'));
    setImmediate(() => done(null, Math.min(2, bytes.length)));
  });
  output.write('one\n');
  await sleep(FLUSH_WAIT_MS);
  assert.deepEqual(writes, ['one\n', 'e\n']);
});

test('lines over the limit per second are dropped and counted', async () => {
  let now = 0;
  const {output, writes} = createFixture(0, () => now);
  for (let line = 0; line < 450; line += 1) output.write('x\n');
  await sleep(FLUSH_WAIT_MS);
  now = 1_500;
  output.write('last\n');
  await sleep(FLUSH_WAIT_MS);
  const [first = '', second = ''] = writes;
  assert.equal(first.split('\n').length - 1, 400);
  assert.match(second, /"msg":"log: lines left out","count":50/);
  assert.match(second, /last\n$/);
});
