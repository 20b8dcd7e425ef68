import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LogLevel, LogPart, Logs, type Logger} from '../src/index.js';

interface Fixture {
  readonly logs: Logs;
  readonly logger: Logger;
  readonly lines: Record<string, unknown>[];
}

function createFixture(): Fixture {
  const lines: Record<string, unknown>[] = [];
  const write = (line: string) => {
    assert.match(line, /^[^\n]*\n$/);
    lines.push(JSON.parse(line) as Record<string, unknown>);
  };
  const stream = {write} as unknown as NodeJS.WritableStream;
  const logs = new Logs('test', LogLevel.Info, stream);
  return {logs, logger: logs.forPart(LogPart.Holding), lines};
}

test('a line says the time of day, the message with its component, and the fields', () => {
  const {logger, lines} = createFixture();
  logger.info('job accepted', {job: 'a', freeMillis: 0, isResumed: undefined});
  const [line] = lines;
  assert.deepEqual(Object.keys(line ?? {}), [
    'time',
    'msg',
    'job',
    'freeMillis',
  ]);
  assert.match(String(line?.time), /^\d\d:\d\d:\d\d\.\d{3}$/);
  assert.equal(line?.msg, 'holding: job accepted');
});

test('the time of day is that of the world clock in UTC', () => {
  const {logger, lines} = createFixture();
  const before = new Date().toISOString().slice(11, -1);
  logger.info('job accepted');
  const after = new Date().toISOString().slice(11, -1);
  const time = String(lines[0]?.time);
  const isWithin = before <= time && time <= after;
  // Midnight may pass between the two readings.
  assert.ok(isWithin || after < before, `${before} ${time} ${after}`);
});

test('a line names its level unless that is the usual one', () => {
  const {logger, lines} = createFixture();
  logger.info('one');
  logger.warn('two');
  logger.error('three');
  assert.deepEqual(
    lines.map(({level}) => level),
    [undefined, 40, 50],
  );
});

test('a level that is set later applies to loggers already returned', () => {
  const {logs, logger, lines} = createFixture();
  logger.debug('one');
  logs.setLevel(LogPart.Holding, LogLevel.Debug);
  logger.debug('two');
  logs.setLevel(LogPart.Holding, LogLevel.Silent);
  logger.error('three');
  assert.deepEqual(
    lines.map(({msg}) => msg),
    ['holding: two'],
  );
});

// Guards against a line for each task of a large job, which hide all others.
test('a message that is logged too often is left out and counted, others are not', async () => {
  const {logger, lines} = createFixture();
  for (let count = 0; count < 1_000; count += 1)
    logger.info('stop request finished');
  logger.warn('worker poll failed');
  const written = lines.length;
  await new Promise(resolve => setTimeout(resolve, 1_050));
  logger.info('job accepted');
  assert.equal(written, 201);
  assert.deepEqual(
    lines.slice(200).map(({msg, of, count}) => ({msg, of, count})),
    [
      {
        msg: 'holding: worker poll failed',
        of: undefined,
        count: undefined,
      },
      {
        msg: 'log: lines left out',
        of: 'holding: stop request finished',
        count: 800,
      },
      {msg: 'holding: job accepted', of: undefined, count: undefined},
    ],
  );
});

test('a long text is cut', () => {
  const {logger, lines} = createFixture();
  logger.info('tasks placed', {tasks: 'x'.repeat(100_000)});
  const tasks = String(lines[0]?.['tasks']);
  assert.equal(tasks.length, 2_000 + '… 98000 more characters'.length);
});
