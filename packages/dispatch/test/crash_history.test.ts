import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashHistory, type Crash} from '../src/index.js';

const TASK = 'a.0.0.0';

function createCrash(workerId: string, changes: Partial<Crash> = {}): Crash {
  return {task: TASK, workerId, workerBornAt: 1, isShared: false, ...changes};
}

test('a crash counts once, however many peers report it', () => {
  const history = new CrashHistory();
  const crash = createCrash('w1');
  assert.ok(history.record(crash, 0));
  history.merge([{...crash, ageMs: 5}], 10);
  assert.equal(history.record(crash, 20), false);
  assert.equal(history.judge(TASK), 'suspected');
});

test('two incarnations of one worker that crash count as two crashes', () => {
  const history = new CrashHistory();
  history.record(createCrash('w1'), 0);
  history.record(createCrash('w1', {workerBornAt: 2}), 1);
  assert.equal(history.judge(TASK), 'crashing');
});

test('a task that never had a worker alone is given up after a third crash only', () => {
  const history = new CrashHistory();
  const verdicts: string[] = [history.judge(TASK)];
  for (const workerId of ['w1', 'w2', 'w3']) {
    history.record(createCrash(workerId, {isShared: true}), 0);
    verdicts.push(history.judge(TASK));
  }
  const expected = ['harmless', 'suspected', 'suspected', 'crashing'];
  assert.deepEqual(verdicts, expected);
});

test('a crash of a worker that was only unreachable is taken back, also when a peer tells it again', () => {
  const history = new CrashHistory();
  history.record(createCrash('w1'), 0);
  history.record(createCrash('w2'), 0);
  history.retract(createCrash('w2'));
  assert.equal(history.judge(TASK), 'suspected');
  history.retract(createCrash('w1'));
  assert.equal(history.judge(TASK), 'harmless');
  history.merge([{...createCrash('w1'), ageMs: 1}], 1);
  assert.equal(history.judge(TASK), 'harmless');
  assert.equal(history.reportAll(1), undefined);
});

test('crashes are forgotten a minute after the last one', () => {
  const history = new CrashHistory();
  history.record(createCrash('w1'), 0);
  history.removeExpired(59_999);
  assert.ok(history.hasJob('a'));
  history.removeExpired(60_000);
  assert.equal(history.hasJob('a'), false);
});

test('a crash that a peer tells again after it was forgotten stays forgotten', () => {
  const history = new CrashHistory();
  history.merge([{...createCrash('w1'), ageMs: 60_000}], 60_000);
  assert.equal(history.judge(TASK), 'harmless');
});

test('peers are told of recent crashes, in reports of limited size', () => {
  const history = new CrashHistory();
  history.record(createCrash('w1'), 0);
  for (let index = 0; index < 100; index += 1)
    history.record(createCrash('w1', {task: `b.0.0.${index}`}), 1_000 + index);
  const recent = history.reportRecent(5_500);
  assert.equal(recent?.length, 64);
  assert.equal(recent[0]?.task, 'b.0.0.99');
  assert.equal(recent[0].ageMs, 4_401);
  assert.equal(history.reportRecent(6_100), undefined);
  assert.equal(history.reportJob('a', 6_100)?.length, 1);
});
