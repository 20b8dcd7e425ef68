import assert from 'node:assert/strict';
import {
  RunEnd,
  RunPhase,
  StartAnswer,
  WorkerRequestFailure,
  type Dispatcher,
  type Job,
  type StartCommand,
  type WorkerReport,
} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock, sleep, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {CommandSender} from '../src/holder/command_sender.js';
import {LostResponses} from '../src/holder/lost_responses.js';
import {WorkerPollers} from '../src/holder/worker_pollers.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {PollRequest, WorkerPort} from '../src/ports/index.js';
import {
  createDispatcher,
  createJob,
  dispatchOptions,
  failOnCall,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';
import {testInSimulatedTime as test} from './simulation/simulated_time.js';

type PollResult = Result<WorkerReport, WorkerRequestFailure>;

/** What the holder sent to its worker, in order. */
type Sent = 'poll' | 'start';

interface Fixture {
  readonly dispatcher: Dispatcher;
  readonly commands: readonly StartCommand[];
  readonly sent: readonly Sent[];
  readonly polls: readonly PollRequest[];
  startAll(): Promise<void>;
}

interface FixtureOptions {
  /** Time since the last connection to the idle worker closed. */
  readonly closedForMs: Millis;
  readonly pollResult?: PollResult;
  readonly startAnswers?: readonly StartAnswer[];
  readonly onPoll?: (dispatcher: Dispatcher) => void;
  /** Time since the worker answered its last poll, in ms. */
  readonly idleMs?: Millis;
  /** The label that the tasks require, if any. */
  readonly requiredLabel?: string;
}

function createReport(bornAt: number): PollResult {
  return Ok({clockMs: 5, bornAt, running: [], ended: []});
}

const LABEL = 'a';

/** Creates a job of two tasks that require a label, if one is given. */
function createLabelledJob(now: Millis, requiredLabel?: string): Job {
  const job = createJob('a', 2, now);
  if (requiredLabel === undefined) return job;
  return {...job, steps: job.steps.map(step => ({...step, requiredLabel}))};
}

/** Creates a holder's parts with a job of two tasks for an idle worker. */
function createFixture({
  closedForMs,
  pollResult = createReport(worker.bornAt),
  startAnswers = [],
  onPoll = () => undefined,
  idleMs = 1_000,
  requiredLabel,
}: FixtureOptions): Fixture {
  const now = readClock();
  const dispatcher = createDispatcher(now - idleMs);
  dispatcher.setWorkers([{...worker, labels: [LABEL]}], now);
  dispatcher.submit(createLabelledJob(now, requiredLabel), false, now);
  const commands = dispatcher.tick(now).filter(({kind}) => kind === 'start');
  assert.equal(commands.length, 2);
  const sent: Sent[] = [];
  const polls: PollRequest[] = [];
  let closedAt = now - closedForMs;
  let startCount = 0;
  const workerPort: WorkerPort = {
    start: async () => {
      sent.push('start');
      const answer = startAnswers[startCount] ?? StartAnswer.Started;
      startCount += 1;
      await sleep(1);
      if (answer === StartAnswer.Unanswered) closedAt = Math.max(closedAt, now);
      return {answer, clockMs: 5};
    },
    stop: failOnCall,
    poll: request => {
      sent.push('poll');
      polls.push(request);
      onPoll(dispatcher);
      return Promise.resolve(pollResult);
    },
    lastDisconnectAt: () => closedAt,
  };
  const shared = {
    token: 7,
    dispatchOptions,
    dispatcher,
    workerPort,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    lostResponses: new LostResponses(),
    lifecycle: new Lifecycle('test'),
    onChange: () => undefined,
    onFenced: failOnCall,
  };
  const {processes} = new WorkerPollers(shared);
  const commandSender = new CommandSender({
    ...shared,
    processes,
    evacuation: {withholds: () => false},
    isActive: () => true,
    onCommand: () => undefined,
  });
  const starts = commands as StartCommand[];
  const startAll = async () => {
    await Promise.all(starts.map(command => commandSender.start(command)));
  };
  return {dispatcher, commands: starts, sent, polls, startAll};
}

function findPhases({commands}: Fixture): readonly RunPhase[] {
  return commands.map(({run}) => run.phase);
}

const bothRun = [RunPhase.Running, RunPhase.Running];

test('an idle worker whose connections stayed open is not polled before a start', async () => {
  const fixture = createFixture({closedForMs: 2_000});
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['start', 'start']);
});

test('one poll confirms a worker whose connection closed, for all starts at a time', async () => {
  const fixture = createFixture({closedForMs: 500});
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['poll', 'start', 'start']);
  assert.deepEqual(findPhases(fixture), bothRun);
});

// Guards against ends that the next process forgets before anybody reads them.
test('the poll before a start acknowledges no ends of a former process', async () => {
  const fixture = createFixture({closedForMs: 500});
  const ended = [{sequence: 57, task: 'b.0.0.0', run: 1, end: RunEnd.Done}];
  const report = {clockMs: 5, bornAt: worker.bornAt, running: [], ended};
  fixture.dispatcher.handleReport(worker.id, report, 0, readClock());
  await fixture.startAll();
  assert.deepEqual(
    fixture.polls.map(({lastSeen}) => lastSeen),
    [0],
  );
});

// Guards against starts at the next process, which may be of another kind.
test('no run is started at the next process of a worker before its entry is read', async () => {
  const pollResult = createReport(worker.bornAt + 1);
  const fixture = createFixture({closedForMs: 500, pollResult});
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['poll']);
  const {dispatcher} = fixture;
  const record = dispatcher.workers.get(worker.id);
  assert.equal(record?.runs.size, 0);
  assert.equal(record.isUsable(readClock()), false);
  assert.deepEqual(dispatcher.tick(readClock()), []);
});

test('no run is started at a process whose entry was read only during the poll', async () => {
  const next = {...worker, bornAt: worker.bornAt + 1, labels: ['b']};
  const fixture = createFixture({
    closedForMs: 500,
    pollResult: createReport(next.bornAt),
    onPoll: dispatcher => dispatcher.setWorkers([next], readClock()),
  });
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['poll']);
});

test('no run is started at a worker that does not answer the poll before', async () => {
  const {Unanswered} = WorkerRequestFailure;
  const pollResult = Err(Unanswered);
  const fixture = createFixture({closedForMs: 500, pollResult});
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['poll']);
  const record = fixture.dispatcher.workers.get(worker.id);
  assert.equal(record?.runs.size, 0);
  assert.equal(record.pollFailure, Unanswered);
});

test('a run that is cancelled during the poll before its start is not started', async () => {
  const fixture = createFixture({
    closedForMs: 500,
    onPoll: ({workers}) => {
      for (const run of workers.get(worker.id)?.runs.values() ?? [])
        run.phase = RunPhase.Stopping;
    },
  });
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['poll']);
});

test('a start without an answer is not repeated at the next process', async () => {
  const {Unanswered} = StartAnswer;
  const fixture = createFixture({
    closedForMs: 2_000,
    pollResult: createReport(worker.bornAt + 1),
    startAnswers: [Unanswered, Unanswered],
  });
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['start', 'start', 'poll']);
});

test('a start without an answer is repeated at the next process once that is of the same kind', async () => {
  const next = {...worker, bornAt: worker.bornAt + 1, labels: [LABEL]};
  const {Unanswered} = StartAnswer;
  const fixture = createFixture({
    closedForMs: 2_000,
    pollResult: createReport(next.bornAt),
    onPoll: dispatcher => dispatcher.setWorkers([next], readClock()),
    startAnswers: [Unanswered, Unanswered],
  });
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['start', 'start', 'poll', 'start', 'start']);
});

// Guards against a proxy that keeps the connections to a former process open.
test('an idle worker is polled before a task that requires a label, though its connections stayed open', async () => {
  const pollResult = createReport(worker.bornAt + 1);
  const options = {closedForMs: 2_000, requiredLabel: LABEL};
  const same = createFixture(options);
  await same.startAll();
  assert.deepEqual(same.sent, ['poll', 'start', 'start']);
  const next = createFixture({...options, pollResult});
  await next.startAll();
  assert.deepEqual(next.sent, ['poll']);
});

test('a worker that has just answered is not polled again before a task that requires a label', async () => {
  const options = {closedForMs: 2_000, idleMs: 50, requiredLabel: LABEL};
  const fixture = createFixture(options);
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['start', 'start']);
});

// Guards against leases that aren't renewed because a busy worker is slow.
test('a worker that is being polled stays responsive if it does not answer a poll before a start', async () => {
  const {Unanswered} = WorkerRequestFailure;
  const fixture = createFixture({
    closedForMs: 500,
    pollResult: Err(Unanswered),
  });
  const record = fixture.dispatcher.workers.get(worker.id);
  assert.ok(record !== undefined);
  record.pendingPollSentAt = readClock();
  await fixture.startAll();
  assert.deepEqual(fixture.sent, ['poll']);
  assert.equal(record.isUnresponsive, false);
});
