import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BoundedOutput, sleep} from '../src/index.js';

/** Longer than lines are gathered. */
const GATHERED_MS = 200;

interface Scene {
  readonly output: BoundedOutput;
  readonly writes: string[];
}

/** An output whose writes take `writeMs`. */
function createScene(
  writeMs: number,
  readClock: () => number = () => 0,
): Scene {
  const writes: string[] = [];
  const output = new BoundedOutput((bytes, done) => {
    writes.push(bytes.toString('utf8'));
    setTimeout(() => done(null, bytes.length), writeMs);
  }, readClock);
  return {output, writes};
}

test('lines of one moment leave in one write, in their order', async () => {
  const {output, writes} = createScene(0);
  output.write('one\n');
  await sleep(1);
  output.write('two\n');
  output.write('three\n');
  await sleep(GATHERED_MS);
  assert.deepEqual(writes, ['one\ntwo\nthree\n']);
});

test('a line that comes later is written as well', async () => {
  const {output, writes} = createScene(0);
  output.write('one\n');
  await sleep(GATHERED_MS);
  output.write('two\n');
  await sleep(GATHERED_MS);
  assert.deepEqual(writes, ['one\n', 'two\n']);
});

test('lines that come during a write leave after it', async () => {
  const {output, writes} = createScene(2 * GATHERED_MS);
  output.write('one\n');
  await sleep(GATHERED_MS);
  output.write('two\n');
  output.write('three\n');
  assert.deepEqual(writes, ['one\n']);
  await sleep(3 * GATHERED_MS);
  assert.deepEqual(writes, ['one\n', 'two\nthree\n']);
});

test('a write that took only a part is gone on with', async () => {
  const writes: string[] = [];
  const output = new BoundedOutput((bytes, done) => {
    writes.push(bytes.toString('utf8'));
    setImmediate(() => done(null, Math.min(2, bytes.length)));
  });
  output.write('one\n');
  await sleep(GATHERED_MS);
  assert.deepEqual(writes, ['one\n', 'e\n']);
});

test('what is over the lines of a second is counted and left out', async () => {
  let now = 0;
  const {output, writes} = createScene(0, () => now);
  for (let line = 0; line < 450; line += 1) output.write('x\n');
  await sleep(GATHERED_MS);
  now = 1_500;
  output.write('last\n');
  await sleep(GATHERED_MS);
  const [first = '', second = ''] = writes;
  assert.equal(first.split('\n').length - 1, 400);
  assert.match(second, /"msg":"log: lines left out","count":50/);
  assert.match(second, /last\n$/);
});
