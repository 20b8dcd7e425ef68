import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonReason} from '@goldcrestpier/dispatch';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {DelegatedTasks} from '../src/holder/delegated_tasks.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {PendingAnswers} from '../src/holder/pending_answers.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {
  DelegationAnswer,
  TaskDelegation,
  ZoneClient,
} from '../src/protocol/index.js';
import {createDelegator} from './fixtures/delegator.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
} from './fixtures/dispatcher.js';

/**
 * Delegates a task to a zone, cancels its job, and then changes the holder of
 * that zone, which accepts only the recall at `acceptedAttempt`.
 */
async function cancelWhileHolderChanges(acceptedAttempt: number) {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  dispatcher.submit(createJob('a', 2, now), false, now);
  dispatcher.tick(now);
  const vacancies = [{slowness: 1, cpuMillis: 30_000, memoryMb: 1_000}];
  const vacant = {zone: 'east', service: 'pricing', vacancies};
  dispatcher.updateZoneVacancies(vacant, now);
  dispatcher.submit(createJob('b', 1, now), false, now);
  const [lend] = dispatcher.tick(now);
  assert.ok(lend?.kind === 'lend');
  let recallCount = 0;
  let joinCount = 0;
  let answerFirst: (answer: DelegationAnswer) => void = () => undefined;
  const firstAnswer = new Promise<DelegationAnswer>(
    resolve => (answerFirst = resolve),
  );
  const client: Pick<ZoneClient, 'delegateTask' | 'recall'> = {
    delegateTask: async ({isJoin}) => {
      if (!isJoin) return Ok(await firstAnswer);
      joinCount += 1;
      return Ok(await new Promise<DelegationAnswer>(() => undefined));
    },
    recall: () => {
      recallCount += 1;
      return Promise.resolve(Ok(recallCount >= acceptedAttempt));
    },
  };
  const delegator = createDelegator(dispatcher, client);
  void delegator.delegate(lend);
  const runCommands = async () => {
    for (const command of dispatcher.tick(readClock())) {
      if (command.kind === 'recall') await delegator.recall(command);
    }
  };
  dispatcher.cancel('b', AbandonReason.Cancelled, readClock());
  await runCommands();
  answerFirst({answer: {kind: 'not_holder', mayHaveStarted: true}});
  for (let round = 0; round < 10; round += 1) {
    await sleep(50);
    await runCommands();
  }
  return {recallCount, joinCount};
}

test('the recall of a cancelled delegated task is retried while its zone changes its holder', async () => {
  const {recallCount} = await cancelWhileHolderChanges(2);
  assert.ok(recallCount >= 2);
});

test('a delegated task whose job was cancelled is not continued at the next holder of its zone', async () => {
  const {joinCount} = await cancelWhileHolderChanges(2);
  assert.equal(joinCount, 0);
});

test('a task that was recalled before a new holder knew its run is not adopted', () => {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const running = [{task: 'a.0.0.0', run: 1, percent: 40}];
  const report = {clockMs: 6, bornAt: 1, running, ended: []};
  dispatcher.handleReport('w1', report, now, now);
  const tasks = new DelegatedTasks({
    dispatcher,
    pendingAnswers: new PendingAnswers(),
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    onCommands: () => undefined,
    onChange: () => undefined,
  });
  const token = 7;
  const job = toSubmission(createJob('a', 1, now), 'west', false, now);
  const name = {step: 0, index: 0, run: 1};
  const join: TaskDelegation = {
    ...name,
    homeZone: 'west',
    token,
    job,
    isJoin: true,
  };
  const recall = {homeZone: 'west', token, task: 'a.0.0.0', run: 1};
  tasks.recall(recall, now);
  void tasks.accept(join, now + 1);
  assert.equal(dispatcher.workers.get('w1')?.runs.size, 0);
});
