import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RefusalReason,
  type Outcome,
} from '@goldcrestpier/dispatch';
import {EndedDelegations} from '../src/holder/ended_delegations.js';

const task = 'a.0.0.0@east';
const completed = {kind: 'completed'} as const;

/** Returns what is found of run 1 that ended so, 3 s after its end. */
function findLater(outcome: Outcome): Outcome | undefined {
  const ended = new EndedDelegations();
  ended.record(task, 1, outcome, 0);
  return ended.find(task, 1, 3_000);
}

test('the outcome of a delegated run outlasts the election of a new holder', () => {
  const abandoned = {
    kind: 'abandoned',
    reason: AbandonReason.OwnerLost,
  } as const;
  for (const outcome of [completed, {kind: 'failed'} as const, abandoned])
    assert.deepEqual(findLater(outcome), outcome);
});

test('a delegated task that was refused counts as one that does not run', () => {
  const reason = RefusalReason.TooLate;
  assert.deepEqual(findLater({kind: 'refused', reason, retryAfterMs: 0}), {
    kind: 'abandoned',
    reason: AbandonReason.RunLost,
  });
});

test('the outcome of a run is not taken for that of another run of the task', () => {
  const ended = new EndedDelegations();
  ended.record(task, 1, completed, 0);
  assert.equal(ended.find(task, 2, 1), undefined);
  assert.equal(ended.find('a.0.0.0@west', 1, 1), undefined);
});

test('the outcome of a run is forgotten when the task begins anew', () => {
  const ended = new EndedDelegations();
  ended.record(task, 1, completed, 0);
  ended.forget(task);
  assert.equal(ended.find(task, 1, 1), undefined);
});

test('outcomes are kept for a limited time', () => {
  const ended = new EndedDelegations();
  ended.record(task, 1, completed, 0);
  assert.deepEqual(ended.find(task, 1, 9_999), completed);
  assert.equal(ended.find(task, 1, 10_000), undefined);
});

test('a limited number of outcomes is kept, and the newest of them', () => {
  const ended = new EndedDelegations();
  for (let index = 0; index <= 10_000; index += 1)
    ended.record(`task ${index}`, 1, completed, 0);
  assert.equal(ended.find('task 0', 1, 1), undefined);
  assert.deepEqual(ended.find('task 1', 1, 1), completed);
  assert.deepEqual(ended.find('task 10000', 1, 1), completed);
});
