import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HeldWork, measureJob} from '../src/admission/index.js';
import {
  StartAnswer,
  type Dispatcher,
  type Job,
  type Outcome,
  type StartCommand,
} from '../src/index.js';
import {
  createDispatcher,
  createSmallTasks,
  createWorker,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

function createOneWorker(): Dispatcher {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  return dispatcher;
}

/** Submits a job and returns its outcome if it has ended at once. */
function submit(
  dispatcher: Dispatcher,
  job: Job,
  now: number,
): Outcome | undefined {
  dispatcher.submit(job, false, now);
  return dispatcher.takeEndedJobs().find(({id}) => id === job.id)?.outcome;
}

/** Answers each start `startMs` after the one before, up to `until`. */
function answerStarts(
  dispatcher: Dispatcher,
  startMs: number,
  until: number,
): void {
  const pending: StartCommand[] = [];
  for (let now = 0; now < until; now += startMs) {
    for (const command of dispatcher.tick(now))
      if (command.kind === 'start') pending.push(command);
    const next = pending.shift();
    if (next !== undefined)
      dispatcher.handleStartAnswer(next.run, StartAnswer.Started, now);
  }
}

// Guards against large jobs that are refused late, or by their size alone.
test('a job that takes too many starts for its time is refused at once', () => {
  const dispatcher = createOneWorker();
  const refused = submit(dispatcher, createSmallTasks('a', 2_000), 0);
  const longer = createSmallTasks('b', 2_000, {deadlineAt: 5_000});
  assert.deepEqual(refused, {
    kind: 'refused',
    reason: 'too_many_starts',
    retryAfterMs: 60_000,
  });
  assert.equal(submit(dispatcher, longer, 0), undefined);
});

test('what a job of a thousand tasks may take depends on how fast tasks start', () => {
  const outcomes = [0.5, 4].map(startMs => {
    const dispatcher = createOneWorker();
    dispatcher.submit(createSmallTasks('a', 600), false, 0);
    answerStarts(dispatcher, startMs, 1_400);
    const job = createSmallTasks('b', 1_000, {
      arrivedAt: 1_500,
      deadlineAt: 3_000,
    });
    dispatcher.tick(1_500);
    return submit(dispatcher, job, 1_500)?.kind;
  });
  assert.deepEqual(outcomes, [undefined, 'refused']);
});

test('a large job that would make another one late is refused until that one has started', () => {
  const dispatcher = createOneWorker();
  const job = createSmallTasks('a', 1_000);
  assert.equal(submit(dispatcher, job, 0), undefined);
  dispatcher.tick(0);
  const later = {arrivedAt: 10, deadlineAt: 1_510};
  const outcome = submit(dispatcher, createSmallTasks('b', 1_000, later), 10);
  assert.deepEqual(outcome, {
    kind: 'refused',
    reason: 'too_many_starts',
    retryAfterMs: 1_000,
  });
  const ordinary = createSmallTasks('c', 8, later);
  assert.equal(submit(dispatcher, ordinary, 10), undefined);
});

// Guards against "not run" of a job of which tasks ran.
test('a job that has run and takes too many starts is given up, not refused', () => {
  const dispatcher = createOneWorker();
  dispatcher.submit(createSmallTasks('a', 10), false, 0);
  for (const command of dispatcher.tick(0)) {
    assert.ok(command.kind === 'start');
    const {run} = command;
    dispatcher.handleStartAnswer(run, StartAnswer.Rejected, 1);
  }
  dispatcher.tick(1_600);
  dispatcher.takeEndedJobs();
  const again = createSmallTasks('a', 2_000, {
    arrivedAt: 2_000,
    deadlineAt: 3_500,
  });
  assert.equal(dispatcher.jobs.size, 0);
  assert.deepEqual(submit(dispatcher, again, 2_000), {
    kind: 'abandoned',
    reason: 'deadline',
  });
});

test('a holder keeps a limited number of jobs, tasks and bytes', () => {
  const patient = {deadlineAt: 100_000};
  const small = createSmallTasks('a', 1, patient);
  const wide = createSmallTasks('b', 10_000, patient);
  const heavy = {...small, payload: 'x'.repeat(4_000)};
  const counts = [small, wide, heavy].map(job => {
    const work = new HeldWork();
    const size = measureJob(job);
    let count = 0;
    while (work.hasRoom(size)) {
      work.add(size);
      count += 1;
    }
    work.remove(size);
    assert.ok(work.hasRoom(size));
    return count;
  });
  assert.deepEqual(counts, [4_000, 2, 3_355]);
});

test('a job is refused while the holder keeps as many tasks as it may', () => {
  const dispatcher = createOneWorker();
  const patient = {deadlineAt: 100_000};
  const outcomes = ['a', 'b', 'c'].map(id =>
    submit(dispatcher, createSmallTasks(id, 8_000, patient), 0),
  );
  assert.deepEqual(
    outcomes.map(outcome => outcome?.kind === 'refused' && outcome.reason),
    [false, false, 'holder_full'],
  );
});
