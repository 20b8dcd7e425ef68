import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Command} from '@goldcrestpier/dispatch';
import {DelegatedTasks} from '../src/holder/delegated_tasks.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {PendingAnswers} from '../src/holder/pending_answers.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
} from './fixtures/dispatcher.js';

const START = 1_000;
const TASK = 'a.0.0.0';

/** A delegation of the task, in the order in which it arrives. */
interface Arrival {
  readonly token: number;
  readonly run: number;
  readonly isJoin: boolean;
  readonly afterMs: number;
}

/** Whether the task starts after run 2 was recalled by the holder with token 5. */
function isStarted({token, run, isJoin, afterMs}: Arrival): boolean {
  const dispatcher = createDispatcher(START);
  const commands: Command[] = [];
  const tasks = new DelegatedTasks({
    dispatcher,
    pendingAnswers: new PendingAnswers(),
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    onCommands: added => commands.push(...added),
    onChange: () => undefined,
  });
  const homeZone = 'west';
  tasks.recall({homeZone, token: 5, task: TASK, run: 2}, START);
  const now = START + afterMs;
  const job = toSubmission(createJob('a', 1, now), homeZone, false, now);
  const name = {step: 0, index: 0};
  void tasks.accept({homeZone, token, job, ...name, run, isJoin}, now);
  return commands.length > 0 || dispatcher.jobs.size > 0;
}

const delayed = {token: 5, run: 2, isJoin: false, afterMs: 50};

test('a delegated task that arrives after its recall does not start', () => {
  assert.equal(isStarted(delayed), false);
});

test('the result of a recalled task can not be requested, as that could start it', () => {
  assert.equal(isStarted({...delayed, isJoin: true}), false);
  assert.equal(isStarted({...delayed, isJoin: true, token: 6}), false);
});

test('a later run of a recalled task is accepted', () => {
  assert.equal(isStarted({...delayed, run: 3}), true);
});

test('a task from a later holder is accepted although an earlier one recalled it', () => {
  assert.equal(isStarted({...delayed, token: 6, run: 1}), true);
});

test('a recall is forgotten after 10 s', () => {
  assert.equal(isStarted({...delayed, afterMs: 10_000}), true);
});
