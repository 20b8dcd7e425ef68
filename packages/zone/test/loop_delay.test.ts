import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoopDelay} from '../src/instance/loop_delay.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {noopLogger} from './fixtures/dispatcher.js';

const STEP_INTERVAL_MS = 50;

/** Collects the warnings for steps at these times, each using 30 ms of CPU time. */
function collectWarnings(times: readonly number[]): unknown[] {
  const warnings: unknown[] = [];
  const logger = {
    ...noopLogger,
    warn: (_message: string, fields?: object) => warnings.push(fields),
  };
  let micros = 0;
  const readMicros = () => (micros += 30_000);
  const delay = new LoopDelay(logger, new ZoneMetrics(), readMicros);
  let dueAt = times[0] ?? 0;
  for (const now of times) {
    delay.record(now, dueAt);
    dueAt = now + STEP_INTERVAL_MS;
  }
  return warnings;
}

test('late steps are logged once per second, with the longest delay', () => {
  const times = [1_000, 1_050, 1_400, 1_650, 1_700, 2_100];
  assert.deepEqual(collectWarnings(times), [
    {lateMs: 350, usedMs: 30, duringMs: 1_100},
  ]);
});

test('steps on time are not logged', () => {
  const times = Array.from({length: 50}, (_, index) => 1_000 + 50 * index);
  assert.deepEqual(collectWarnings(times), []);
});
