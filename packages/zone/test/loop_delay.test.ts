import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoopDelay} from '../src/instance/loop_delay.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {quiet} from './fixtures/scene.js';

const EVERY_MS = 50;

/** The lines that steps at these times write; each used 30 ms of processor time. */
function writeLines(times: readonly number[]): unknown[] {
  const lines: unknown[] = [];
  const logger = {
    ...quiet,
    warn: (_message: string, fields?: object) => lines.push(fields),
  };
  let micros = 0;
  const readMicros = () => (micros += 30_000);
  const delay = new LoopDelay(logger, new ZoneMetrics(), readMicros);
  let dueAt = times[0] ?? 0;
  for (const now of times) {
    delay.note(now, dueAt);
    dueAt = now + EVERY_MS;
  }
  return lines;
}

test('a late step is told once a second, with the longest delay', () => {
  const times = [1_000, 1_050, 1_400, 1_650, 1_700, 2_100];
  assert.deepEqual(writeLines(times), [
    {lateMs: 350, usedMs: 30, duringMs: 1_100},
  ]);
});

test('steps in time write nothing', () => {
  const times = Array.from({length: 50}, (_, index) => 1_000 + 50 * index);
  assert.deepEqual(writeLines(times), []);
});
