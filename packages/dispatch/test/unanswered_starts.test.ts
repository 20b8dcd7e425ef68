import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UnansweredStarts} from '../src/index.js';

const TASK = 'a.0.0.1';

test('an unanswered start blocks its task until it is over', () => {
  const starts = new UnansweredStarts();
  starts.record(TASK, 5_000, 0);
  assert.equal(starts.findEnd(TASK, 4_999), 5_000);
  assert.equal(starts.findEnd(TASK, 5_000), undefined);
  assert.equal(starts.findEnd('a.0.0.2', 0), undefined);
  assert.ok(starts.hasJob('a'));
  starts.removeExpired(6_100);
  assert.ok(!starts.hasJob('a'));
});

test('of two unanswered starts of a task the later one counts', () => {
  const starts = new UnansweredStarts();
  starts.record(TASK, 5_000, 0);
  starts.record(TASK, 4_000, 10);
  assert.equal(starts.findEnd(TASK, 20), 5_000);
});

test('an unanswered start is told on by those who hear of it, but not for ever', () => {
  const own = new UnansweredStarts();
  const peer = new UnansweredStarts();
  own.record(TASK, 5_000, 0);
  const report = own.reportRecent(100);
  assert.deepEqual(report, [{task: TASK, remainingMs: 4_900}]);
  peer.merge(report ?? [], 150);
  assert.equal(peer.findEnd(TASK, 150), 5_050);
  assert.equal(peer.reportRecent(150)?.length, 1);
  own.merge(peer.reportRecent(2_900) ?? [], 2_950);
  peer.merge(own.reportRecent(2_950) ?? [], 3_000);
  assert.equal(peer.reportRecent(3_150), undefined);
  assert.equal(own.reportRecent(3_000), undefined);
  assert.equal(own.reportJob('a', 3_000)?.length, 1);
  assert.equal(own.reportJob('b', 3_000), undefined);
});

test('so many unanswered starts that the oldest are dropped are counted', () => {
  const starts = new UnansweredStarts();
  let dropped = 0;
  for (let job = 0; job <= 50_000; job += 1)
    dropped += starts.record(`j${job}.0.0.0`, 20_000, 0);
  assert.equal(dropped, 1);
  assert.ok(!starts.hasJob('j0'));
});
