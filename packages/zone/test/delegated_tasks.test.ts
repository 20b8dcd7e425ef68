import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readClock} from '@goldcrestpier/runtime';
import {DelegatedTasks} from '../src/holder/delegated_tasks.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {PendingAnswers} from '../src/holder/pending_answers.js';
import {
  createDispatcher,
  createJob,
  failOnCall,
} from './fixtures/dispatcher.js';

const TOKEN = 7;

/** The holder of a zone whose worker is busy, with a task that waits there. */
function createWithWaitingTask() {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  dispatcher.submit(createJob('busy', 2, now), false, now);
  dispatcher.tick(now);
  const tasks = new DelegatedTasks({
    dispatcher,
    pendingAnswers: new PendingAnswers(),
    onCommands: commands => assert.deepEqual(commands, []),
    onChange: () => undefined,
  });
  const job = toSubmission(createJob('a', 1, now), 'east', false, now);
  const delegation = {
    homeZone: 'east',
    token: TOKEN,
    job,
    step: 0,
    index: 0,
    run: 1,
    maxWaitMs: 100,
    isJoin: false,
  };
  void tasks.accept(delegation, now).catch(failOnCall);
  return {dispatcher, tasks, now};
}

test('a task that waits for a zone is refused when its next holder lists its tasks', () => {
  const {dispatcher, tasks, now} = createWithWaitingTask();
  tasks.refuseWaiting('east', TOKEN + 1, now);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.id, 'a.0.0.0@east');
  assert.equal(ended.outcome.kind, 'refused');
});

test('a task that waits for a zone goes on waiting when the same holder lists its tasks', () => {
  const {dispatcher, tasks, now} = createWithWaitingTask();
  tasks.refuseWaiting('east', TOKEN, now);
  tasks.refuseWaiting('west', TOKEN + 1, now);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
});
