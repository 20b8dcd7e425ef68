import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Dispatcher,
  RunEnd,
  StartAnswer,
  TaskHistory,
  WorkerRequestFailure,
  type Job,
  type Run,
} from '../src/index.js';
import {
  createJob,
  createPolledDispatcher,
  createReport,
  createWorker,
  formatCommands,
  listStarts,
  noopObserver,
  options,
} from './fixtures/dispatcher_setup.js';

/** When the first start command counts as unanswered, in ms. */
const UNANSWERED_AT = 100;
/** When its repetition is answered, or a stop is taken, in ms. */
const ANSWERED_AT = 150;
/** When the worker answers as its next incarnation, in ms. */
const RESTARTED_AT = 900;
/** Time by which the late command is executed and its lease is over. */
const AFTER_LATE_RUN = UNANSWERED_AT + 12_000 + 1_100;
/** A job that outlasts a late start command. */
const longTimes = {deadlineAt: 60_000, targetMs: 60_000};

/** Two workers, and a job whose first start command got no answer. */
class UnansweredFixture {
  readonly history = new TaskHistory();
  readonly dispatcher: Dispatcher;
  readonly run: Run;

  constructor(changes: Partial<Job> = {}) {
    this.dispatcher = createPolledDispatcher(this.history);
    this.dispatcher.submit(createJob('a', 1, changes), false, 0);
    const [start] = this.dispatcher.tick(0);
    assert.ok(start?.kind === 'start');
    this.run = start.run;
    this.dispatcher.recordLease(this.run.workerId, 0);
    this.dispatcher.handleUnansweredStart(this.run, UNANSWERED_AT);
  }

  /** The repeated command is answered. */
  confirm(): void {
    const {Started} = StartAnswer;
    this.dispatcher.handleStartAnswer(this.run, Started, ANSWERED_AT);
  }

  /** The worker answers a poll as its next incarnation, without any run. */
  restart(at = RESTARTED_AT): void {
    const report = createReport([], [], 2);
    this.dispatcher.handleReport(this.run.workerId, report, at, at);
  }

  /** Submits the job again; returns the start commands. */
  submitAgain(now: number, dispatcher = this.dispatcher): string[] {
    const times = {arrivedAt: now, deadlineAt: now + 1_500};
    dispatcher.submit(createJob('a', 1, times), false, now);
    return listStarts(dispatcher, now);
  }
}

/** The reasons for which jobs have ended since the last call. */
function listOutcomes(dispatcher: Dispatcher): string[] {
  return dispatcher.takeEndedJobs().map(({outcome}) => {
    if (outcome.kind !== 'abandoned') return outcome.kind;
    return outcome.reason;
  });
}

test('a run whose start was repeated is not replaced when its worker has restarted', () => {
  const fixture = new UnansweredFixture();
  const {dispatcher} = fixture;
  fixture.confirm();
  fixture.restart();
  assert.deepEqual(listStarts(dispatcher, RESTARTED_AT), []);
  assert.deepEqual(listOutcomes(dispatcher), ['start_unanswered']);
  assert.deepEqual(fixture.submitAgain(2_800), []);
  assert.deepEqual(listOutcomes(dispatcher), ['start_unanswered']);
});

test('a start is repeated only while its run can still end in time', () => {
  const {dispatcher, run} = new UnansweredFixture();
  const latestAt = 1_500 - run.expectedMs;
  assert.ok(dispatcher.isStartWanted(run, latestAt));
  assert.ok(!dispatcher.isStartWanted(run, latestAt + 1));
  dispatcher.handleStartAnswer(run, StartAnswer.Started, ANSWERED_AT);
  assert.ok(!dispatcher.isStartWanted(run, ANSWERED_AT));
});

test('a run that a poll confirmed while its start was repeated is not replaced either', () => {
  const fixture = new UnansweredFixture(longTimes);
  const {dispatcher, run} = fixture;
  const entry = {task: run.key, run: run.number, percent: 10};
  const at = ANSWERED_AT;
  dispatcher.handleReport(run.workerId, createReport([entry]), at, at);
  fixture.restart();
  assert.deepEqual(listStarts(dispatcher, RESTARTED_AT), []);
});

test('a run whose stop was taken is not replaced while its start may come late', () => {
  const fixture = new UnansweredFixture(longTimes);
  const {dispatcher, run} = fixture;
  dispatcher.handleStartAnswer(run, StartAnswer.Unanswered, 300);
  dispatcher.handleStopAccepted(run, 300, 400);
  assert.deepEqual(listStarts(dispatcher, 600), []);
  assert.deepEqual(listStarts(dispatcher, 12_000), []);
  const [start] = listStarts(dispatcher, AFTER_LATE_RUN + 200);
  assert.match(start ?? '', /^start a\.0\.0\.0\/2 on w/);
});

test('a run that failed is not replaced while its first start may come late', () => {
  const fixture = new UnansweredFixture(longTimes);
  const {dispatcher, run} = fixture;
  fixture.confirm();
  const end = {sequence: 1, task: run.key, run: 1, end: RunEnd.Failed};
  dispatcher.handleReport(run.workerId, createReport([], [end]), 300, 300);
  assert.deepEqual(listStarts(dispatcher, 300), []);
});

test('a run whose worker refuses connections is not replaced while its start may come late', () => {
  const fixture = new UnansweredFixture(longTimes);
  const {dispatcher, run} = fixture;
  const {NotListening} = WorkerRequestFailure;
  fixture.confirm();
  dispatcher.handlePollFailure(run.workerId, NotListening, 500);
  assert.deepEqual(listStarts(dispatcher, 1_500), []);
});

test('a run whose first start may come late is not moved to a faster worker', () => {
  const fixture = new UnansweredFixture();
  const {dispatcher, run} = fixture;
  fixture.confirm();
  run.expectedEndAt = 5_000;
  assert.deepEqual(formatCommands(dispatcher.tick(400)), []);
});

test('a caller whose job waits for a late start is answered at once, not at its deadline', () => {
  const fixture = new UnansweredFixture();
  const {dispatcher, run} = fixture;
  dispatcher.handleStartAnswer(run, StartAnswer.Unanswered, 300);
  dispatcher.tick(300);
  dispatcher.handleStopAccepted(run, 300, 320);
  dispatcher.tick(420);
  assert.deepEqual(listOutcomes(dispatcher), ['start_unanswered']);
});

test('a job that was told elsewhere to have a late start is neither started nor refused', () => {
  const fixture = new UnansweredFixture();
  const elsewhere = new TaskHistory();
  elsewhere.merge(fixture.history.reportRecent(200), 200);
  const dispatcher = createPolledDispatcher(elsewhere, 200);
  assert.deepEqual(fixture.submitAgain(1_600, dispatcher), []);
  assert.deepEqual(listOutcomes(dispatcher), ['start_unanswered']);
});

test('a job with a late start is not refused as not run when its zone has no worker', () => {
  const {history} = new UnansweredFixture();
  const dispatcher = new Dispatcher(options, -10_000, noopObserver, history);
  dispatcher.confirmWorkerList();
  const job = createJob('a', 1, {arrivedAt: 1_600, deadlineAt: 3_100});
  dispatcher.submit(job, false, 1_600);
  dispatcher.tick(1_600);
  assert.ok(!listOutcomes(dispatcher).includes('refused'));
});

test('a late start that its worker executes in time is adopted by its job', () => {
  const fixture = new UnansweredFixture(longTimes);
  const {dispatcher, run} = fixture;
  fixture.confirm();
  fixture.restart();
  dispatcher.tick(RESTARTED_AT);
  const entry = {task: run.key, run: 1, percent: 10};
  const report = createReport([entry], [], 2);
  dispatcher.handleReport(run.workerId, report, 3_000, 3_000);
  const done = {sequence: 1, task: run.key, run: 1, end: RunEnd.Done};
  const ended = createReport([], [done], 2);
  dispatcher.handleReport(run.workerId, ended, 3_200, 3_200);
  assert.deepEqual(listOutcomes(dispatcher), ['completed']);
});

test('other tasks of a job go on while one of them waits for a late start', () => {
  const dispatcher = createPolledDispatcher();
  const [step] = createJob('a', 1).steps;
  assert.ok(step !== undefined);
  const steps = [step, {...step, after: []}, {...step, after: [1]}];
  dispatcher.submit(createJob('a', 1, {...longTimes, steps}), false, 0);
  const [first, second] = dispatcher.tick(0);
  assert.ok(first?.kind === 'start' && second?.kind === 'start');
  dispatcher.handleUnansweredStart(first.run, UNANSWERED_AT);
  dispatcher.handleStartAnswer(first.run, StartAnswer.Started, ANSWERED_AT);
  const {workerId, key: task} = second.run;
  const done = {sequence: 1, task, run: 1, end: RunEnd.Done};
  const entry = {task: first.run.key, run: 1, percent: 10};
  const running = first.run.workerId === workerId ? [entry] : [];
  dispatcher.handleStartAnswer(second.run, StartAnswer.Started, ANSWERED_AT);
  const report = createReport(running, [done]);
  dispatcher.handleReport(workerId, report, 300, 300);
  assert.match(listStarts(dispatcher, 300).join(), /^start a\.0\.2\.0\/1 on w/);
});

test('the leases of a silent worker that has restarted last as long as a late poll extends them', () => {
  const history = new TaskHistory();
  const dispatcher = createPolledDispatcher(history);
  const {Unanswered} = WorkerRequestFailure;
  const restarted = ['w1', 'w2'].map(id => createWorker(id, {bornAt: 2}));
  for (const {id} of restarted) {
    dispatcher.handlePollFailure(id, Unanswered, 100);
    dispatcher.handleReport(id, createReport([], [], 2), 800, 800);
  }
  dispatcher.setWorkers(restarted, 850);
  dispatcher.submit(createJob('b', 1, longTimes), false, 900);
  const [start] = dispatcher.tick(900);
  assert.ok(start?.kind === 'start');
  const {run} = start;
  dispatcher.recordLease(run.workerId, 900);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 910);
  dispatcher.handlePollFailure(run.workerId, Unanswered, 1_000);
  assert.deepEqual(listStarts(dispatcher, 3_000), []);
  assert.equal(listStarts(dispatcher, 100 + 13_200).length, 1);
});

test('a holder that is stopping does not take a run for over, as the next one may extend its lease', () => {
  const dispatcher = createPolledDispatcher();
  dispatcher.submit(createJob('a', 1, longTimes), false, 0);
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  const {run} = start;
  dispatcher.recordLease(run.workerId, 0);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  const {Unanswered} = WorkerRequestFailure;
  dispatcher.handlePollFailure(run.workerId, Unanswered, 200);
  dispatcher.soleHolder.markLeaving();
  assert.deepEqual(listStarts(dispatcher, 2_000), []);
  assert.ok(dispatcher.workers.get(run.workerId)?.runs.has(run.key));
});
