/** Compares what callers were told with what the stand-ins recorded. */
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

/** The answer of a reply; throws when it is another kind of reply. */
export function expectAnswer(reply: Reply): JobAnswer {
  if (reply.kind === ReplyKind.Job) return reply.answer;
  throw new assert.AssertionError({
    message: `expected an answer, got ${JSON.stringify(reply)}`,
  });
}

/** The failure of a reply; throws when it is another kind of reply. */
export function expectFailure(reply: Reply): Failure {
  if (reply.kind === ReplyKind.Failure) return reply.failure;
  throw new assert.AssertionError({
    message: `expected a failure, got ${JSON.stringify(reply)}`,
  });
}

/** A job that is complete has each task's own result, in its place. */
export function assertWhole(answer: JobAnswer, job: JobBody): void {
  assert.equal(answer.state, JobState.Complete);
  assert.equal(answer.tasks.length, job.tasks.length);
  for (const [index, task] of answer.tasks.entries()) {
    assert.equal(task.state, TaskState.Done);
    const {echo} = task.result as {echo: unknown};
    const {payload} = job.tasks[index] as {payload: {echo: unknown}};
    assert.deepEqual(echo, payload.echo);
  }
}

/** No task was started twice at any server. */
export async function assertNoDoubledStart(cluster: Cluster): Promise<void> {
  const doubled = countDuplicateStarts(await cluster.readStarts());
  assert.deepEqual([...doubled], []);
}

/** How many starts the servers recorded for one job. */
export async function countStarts(
  cluster: Cluster,
  session: string,
  key: string,
): Promise<number> {
  const starts = await cluster.readStarts();
  return starts.filter(({job}) => job === `${session}/${key}`).length;
}

/**
 * What an answer says of each task agrees with the servers' records: one that
 * is done started, one that did not run did not, and none started twice.
 */
export async function assertTrueAnswer(
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
