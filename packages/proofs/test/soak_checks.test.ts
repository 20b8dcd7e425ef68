import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createFailure,
  FailureCode,
  JobState,
  RunStatus,
  TaskState,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {
  createJob,
  findViolations,
  ReplyKind,
  type FinalReply,
} from '../src/index.js';

const JOB = {
  session: 's',
  key: 'k',
  job: createJob(1, 1),
  refusedAttempts: [1],
};

function check(
  finalReply: FinalReply | undefined,
  starts: Record<string, number>,
) {
  return findViolations({...JOB, finalReply}, new Map(Object.entries(starts)));
}

function answer(task: Partial<JobAnswer['tasks'][number]>): FinalReply {
  const tasks = [{index: 0, state: TaskState.Done, ...task}];
  return {
    kind: ReplyKind.Answer,
    answer: {
      session: 's',
      key: 'k',
      attempt: 1,
      state: JobState.Complete,
      tasks,
    },
  };
}

test('a job without a final reply is a violation', () => {
  assert.equal(check(undefined, {}).length, 1);
});

test('a task that is done without exactly one start, or with the result of another, is a violation', () => {
  const done = answer({result: {echo: 0}});
  assert.deepEqual(check(done, {'s/k#0': 1}), []);
  assert.equal(check(done, {}).length, 1);
  assert.equal(check(done, {'s/k#0': 2}).length, 1);
  assert.equal(check(answer({result: {echo: 5}}), {'s/k#0': 1}).length, 1);
});

test('a start of a task or job that was reported as "not run" is a violation', () => {
  const failure = createFailure(
    FailureCode.DeadlinePassed,
    {deadlineMs: 1},
    {ran: RunStatus.NotRun},
  );
  const failed = answer({state: TaskState.Failed, failure});
  assert.deepEqual(check(failed, {}), []);
  assert.equal(check(failed, {'s/k#0': 1}).length, 1);
  const refused: FinalReply = {kind: ReplyKind.Failure, failure};
  assert.deepEqual(check(refused, {}), []);
  assert.equal(check(refused, {'s/k': 1}).length, 1);
});
