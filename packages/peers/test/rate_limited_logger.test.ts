import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silentLogger} from '@goldcrestpier/runtime';
import {RateLimitedLogger} from '../src/index.js';

test('a repeated line is logged once per interval, with the number suppressed', () => {
  const lines: unknown[] = [];
  const warn = (message: string, fields?: object) =>
    void lines.push([message, fields]);
  const log = new RateLimitedLogger({...silentLogger, warn}, 1_000);
  for (let now = 0; now < 2_000; now += 100) {
    log.warn('no connection', 'a', {peer: 'a'}, now);
  }
  log.warn('no connection', 'b', {peer: 'b'}, 2_000);
  assert.deepEqual(lines, [
    ['no connection', {peer: 'a', repeated: undefined}],
    ['no connection', {peer: 'a', repeated: 9}],
    ['no connection', {peer: 'b', repeated: undefined}],
  ]);
});
