/**
 * Assertions that compare replies to callers with the backend servers' records.
 */
import assert from 'node:assert/strict';
import {
  JobState,
  RunStatus,
  TaskState,
  type Failure,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {countDuplicateStarts, type Cluster} from '@goldcrestpier/standins';
import {ReplyKind, type JobBody, type Reply} from '../caller/index.js';

/** Returns the answer in a reply; throws for any other kind of reply. */
export function expectAnswer(reply: Reply): JobAnswer {
  if (reply.kind === ReplyKind.Answer) return reply.answer;
  throw new assert.AssertionError({
    message: `expected an answer, got ${JSON.stringify(reply)}`,
  });
}

/** Returns the failure in a reply; throws for any other kind of reply. */
export function expectFailure(reply: Reply): Failure {
  if (reply.kind === ReplyKind.Failure) return reply.failure;
  throw new assert.AssertionError({
    message: `expected a failure, got ${JSON.stringify(reply)}`,
  });
}

/**
 * Asserts that a job is complete and each task has its own result, in order.
 */
export function assertComplete(answer: JobAnswer, job: JobBody): void {
  assert.equal(answer.state, JobState.Complete);
  assert.equal(answer.tasks.length, job.tasks.length);
  for (const [index, task] of answer.tasks.entries()) {
    assert.equal(task.state, TaskState.Done);
    const {echo} = task.result as {echo: unknown};
    const {payload} = job.tasks[index] as {payload: {echo: unknown}};
    assert.deepEqual(echo, payload.echo);
  }
}

/** Asserts that no task was started more than once over all servers. */
export async function assertNoDuplicateStarts(cluster: Cluster): Promise<void> {
  const duplicates = countDuplicateStarts(await cluster.readStarts());
  assert.deepEqual([...duplicates], []);
}

/** Counts the starts that the servers recorded for one job. */
export async function countStarts(
  cluster: Cluster,
  session: string,
  key: string,
): Promise<number> {
  const starts = await cluster.readStarts();
  return starts.filter(({job}) => job === `${session}/${key}`).length;
}

/**
 * Asserts that an answer agrees with the servers' records: a task that is done
 * or ran started once, a "not run" task never started, and no task started
 * twice.
 */
export async function assertAnswerMatchesRecords(
  cluster: Cluster,
  answer: JobAnswer,
): Promise<void> {
  const starts = await cluster.readStarts();
  for (const {index, state, failure} of answer.tasks) {
    const name = `${answer.session}/${answer.key}#${index}`;
    const count = starts.filter(({task}) => task === name).length;
    if (state === TaskState.Done) assert.equal(count, 1, name);
    if (failure?.ran === RunStatus.Ran) assert.equal(count, 1, name);
    if (failure?.ran === RunStatus.NotRun) assert.equal(count, 0, name);
    assert.ok(count <= 1, name);
  }
}
