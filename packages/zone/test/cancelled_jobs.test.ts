import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonReason} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {toSubmission} from '../src/holder/job_conversion.js';
import {JobAction} from '../src/protocol/index.js';
import {createDispatcher, createJob} from './fixtures/dispatcher.js';
import {createSubmissionHandler} from './fixtures/submission_handler.js';

const cancelled = {kind: 'abandoned', reason: AbandonReason.Cancelled};

test('a job that is cancelled for all its owners is stopped, and each of them is answered', async () => {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const submissions = createSubmissionHandler(dispatcher);
  const job = createJob('a', 1, now);
  const answers = ['owner-1', 'owner-2'].map(owner =>
    submissions.submit(toSubmission(job, owner, false, now), now),
  );
  dispatcher.tick(now);
  assert.equal(submissions.inquire('a', JobAction.Find, now), true);
  assert.equal(submissions.inquire('a', JobAction.Cancel, now), true);
  assert.deepEqual(await Promise.all(answers), [cancelled, cancelled]);
  assert.equal(submissions.inquire('a', JobAction.Find, now), false);
  assert.deepEqual(
    dispatcher.tick(now).map(({kind}) => kind),
    ['stop'],
  );
});

// Guards against a job that starts after its cancellation was acknowledged.
test('a job that any owner submits just after its cancellation is not started', async () => {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const submissions = createSubmissionHandler(dispatcher);
  assert.equal(submissions.inquire('a', JobAction.Cancel, now), false);
  const submission = toSubmission(createJob('a', 1, now), 'owner', false, now);
  assert.deepEqual(await submissions.submit(submission, now + 900), cancelled);
  assert.deepEqual(dispatcher.tick(now + 900), []);
});

// Guards against a copy that is seconds late after a DELETE that was answered 200.
test('a job that was cancelled is not started by a late copy of its submission', async () => {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const submissions = createSubmissionHandler(dispatcher);
  const submission = toSubmission(createJob('a', 1, now), 'o', false, now);
  const answer = submissions.submit(submission, now);
  assert.equal(submissions.inquire('a', JobAction.Cancel, now), true);
  assert.deepEqual(await answer, cancelled);
  submissions.answerJobs(dispatcher.takeEndedJobs(), now);
  const late = {...submission, request: 2};
  assert.deepEqual(await submissions.submit(late, now + 5_000), cancelled);
  assert.deepEqual(dispatcher.tick(now + 5_000), []);
});

test('a job that has ended is not known any more', async () => {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const submissions = createSubmissionHandler(dispatcher);
  const job = createJob('a', 1, now);
  const answer = submissions.submit(toSubmission(job, 'o', false, now), now);
  dispatcher.cancel('a', AbandonReason.Cancelled, now);
  assert.equal(submissions.inquire('a', JobAction.Find, now), true);
  submissions.answerJobs(dispatcher.takeEndedJobs(), now);
  await answer;
  assert.equal(submissions.inquire('a', JobAction.Find, now), false);
});
