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
import {createJob, findFaults, ReplyKind, type Ending} from '../src/index.js';

const JOB = {session: 's', key: 'k', job: createJob(1, 1), notRun: [1]};

function check(ending: Ending | undefined, starts: Record<string, number>) {
  return findFaults({...JOB, ending}, new Map(Object.entries(starts)));
}

function answer(task: Partial<JobAnswer['tasks'][number]>): Ending {
  const tasks = [{index: 0, state: TaskState.Done, ...task}];
  return {
    kind: ReplyKind.Job,
    answer: {
      session: 's',
      key: 'k',
      attempt: 1,
      state: JobState.Complete,
      tasks,
    },
  };
}

test('a job that never ended is found', () => {
  assert.equal(check(undefined, {}).length, 1);
});

test('a task that is done without a start, or with the result of another, is found', () => {
  const done = answer({result: {echo: 0}});
  assert.deepEqual(check(done, {'s/k#0': 1}), []);
  assert.equal(check(done, {}).length, 1);
  assert.equal(check(done, {'s/k#0': 2}).length, 1);
  assert.equal(check(answer({result: {echo: 5}}), {'s/k#0': 1}).length, 1);
});

test('a start of what was said not to have run is found, of a task and of a job', () => {
  const failure = createFailure(
    FailureCode.DeadlinePassed,
    {deadlineMs: 1},
    {ran: RunStatus.NotRun},
  );
  const failed = answer({state: TaskState.Failed, failure});
  assert.deepEqual(check(failed, {}), []);
  assert.equal(check(failed, {'s/k#0': 1}).length, 1);
  const refused: Ending = {kind: ReplyKind.Failure, failure};
  assert.deepEqual(check(refused, {}), []);
  assert.equal(check(refused, {'s/k': 1}).length, 1);
});
