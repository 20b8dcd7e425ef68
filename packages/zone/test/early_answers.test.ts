import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonReason, RefusalReason} from '@goldcrestpier/dispatch';
import {
  EarlyAnswerReason,
  findEarlyAnswerReason,
} from '../src/owner/early_answer.js';
import type {OwnerAnswer} from '../src/owner/index.js';

test('a job of which no holder told the end may have runs that go on', () => {
  assert.equal(
    findEarlyAnswerReason({kind: 'unknown'}, false),
    EarlyAnswerReason.HolderLost,
  );
});

test('a job that another request cancelled may have runs that go on', () => {
  assert.equal(
    findEarlyAnswerReason({kind: 'unknown'}, true),
    EarlyAnswerReason.Cancelled,
  );
});

test('a job whose owner counted as lost may have runs that go on', () => {
  const answer = {
    kind: 'abandoned',
    reason: AbandonReason.OwnerLost,
  } as const;
  assert.equal(
    findEarlyAnswerReason(answer, false),
    EarlyAnswerReason.OwnerLost,
  );
});

test('the runs of a job that a holder ended have ended', () => {
  const answers: OwnerAnswer[] = [
    {kind: 'completed'},
    {kind: 'failed'},
    {kind: 'abandoned', reason: AbandonReason.Deadline},
    {kind: 'refused', reason: RefusalReason.TooLate, retryAfterMs: 10},
  ];
  for (const answer of answers)
    assert.equal(findEarlyAnswerReason(answer, false), undefined);
});
