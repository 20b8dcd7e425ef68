import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  CrashHistory,
  RefusalReason,
  RunEnd,
  type DelegateCommand,
  type Dispatcher,
  type RecallCommand,
} from '@goldcrestpier/dispatch';
import {PeerFailureKind, UnknownReason} from '@goldcrestpier/peers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {TaskDelegator} from '../src/holder/task_delegator.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {
  JobAnswer,
  DelegationAnswer,
  ZoneClient,
} from '../src/protocol/index.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
} from './fixtures/dispatcher.js';

const freeCapacity = {
  service: 'pricing',
  vacancies: [[1, 64_000, 1_000, 1]],
} satisfies {
  service: string;
  vacancies: Array<[number, number, number, number]>;
};

/** Creates a dispatcher with a busy worker and known free capacity in `east`. */
function createBusyDispatcher(now: number, crashes: CrashHistory): Dispatcher {
  const dispatcher = createDispatcher(now, crashes);
  dispatcher.submit(createJob('a', 2, now), false, now);
  dispatcher.tick(now);
  const vacancies = [{slowness: 1, cpuMillis: 30_000, memoryMb: 1_000}];
  dispatcher.updateZoneVacancies(
    {zone: 'east', service: 'pricing', vacancies},
    now,
  );
  dispatcher.submit(createJob('b', 1, now), false, now);
  return dispatcher;
}

/** Whether a task is delegated again after the first attempt got this answer. */
async function isDelegatedAgain(answer: DelegationAnswer): Promise<boolean> {
  const now = readClock();
  const crashes = new CrashHistory();
  const dispatcher = createBusyDispatcher(now, crashes);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend');
  const client: Pick<ZoneClient, 'delegateTask'> = {
    delegateTask: () => Promise.resolve(Ok(answer)),
  };
  const delegator = new TaskDelegator({
    zone: 'west',
    token: 7,
    dispatcher,
    crashes,
    findZoneClient: () => client as ZoneClient,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    onChange: () => undefined,
  });
  await delegator.delegate(command);
  return dispatcher.tick(now).some(({kind}) => kind === 'lend');
}

const refusal = {
  kind: 'refused',
  reason: RefusalReason.TooLate,
  retryAfterMs: 1_000,
} as const;

test('a zone that refused a task gets no other until it reports free capacity', async () => {
  assert.equal(await isDelegatedAgain({answer: refusal}), false);
});

test('free capacity that is reported with an answer is used at once', async () => {
  assert.equal(
    await isDelegatedAgain({answer: refusal, rooms: [freeCapacity]}),
    true,
  );
});

test('a task whose worker crashed in another zone is not delegated again', async () => {
  const answer = {
    kind: 'abandoned',
    reason: AbandonReason.RunLost,
  } as const;
  const rooms = [freeCapacity];
  const crash = {
    task: 'b.0.0.0',
    workerId: 'east-w1',
    workerBornAt: 1,
    isShared: true,
    ageMs: 0,
  };
  const results = [
    await isDelegatedAgain({answer, rooms}),
    await isDelegatedAgain({answer, rooms, crashes: [crash]}),
  ];
  assert.deepEqual(results, [true, false]);
});

/** Whether a task that an earlier holder delegated is started or delegated again. */
async function isStartedAgain(
  client: ZoneClient | undefined,
): Promise<boolean> {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const state = {kind: 'lent', run: 4, zone: 'east', tookMs: 5} as const;
  const task = {key: 'a.0.0.0', lastRun: 4, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  dispatcher.submit(createJob('a', 1, now), true, now, progress);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend' && command.isAdopted);
  const delegator = new TaskDelegator({
    zone: 'west',
    token: 7,
    dispatcher,
    crashes: new CrashHistory(),
    findZoneClient: () => client,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    onChange: () => undefined,
  });
  await delegator.delegate(command);
  return dispatcher.tick(readClock()).length > 0;
}

/** Creates a client of a zone that gives this answer to each delegated task. */
function createClientAnswering(answer: JobAnswer): ZoneClient {
  const client: Pick<ZoneClient, 'delegateTask' | 'recall'> = {
    delegateTask: () => Promise.resolve(Ok({answer})),
    recall: () => Promise.resolve(Ok(true)),
  };
  return client as ZoneClient;
}

test('a task that an earlier holder delegated continues while its zone is unreachable', async () => {
  assert.equal(await isStartedAgain(undefined), false);
});

test('a task that an earlier holder delegated continues while its zone has no holder', async () => {
  const answer = {kind: 'not_holder', mayHaveStarted: false} as const;
  assert.equal(await isStartedAgain(createClientAnswering(answer)), false);
});

test('a task that an earlier holder delegated continues when its zone also has a new holder', async () => {
  const answer = {kind: 'abandoned', reason: AbandonReason.RunLost} as const;
  assert.equal(await isStartedAgain(createClientAnswering(answer)), false);
});

/** Loses a delegated task; its zone accepts the recall at `acceptedAttempt`. */
async function loseDelegatedTask(acceptedAttempt: number) {
  const now = readClock();
  const dispatcher = createBusyDispatcher(now, new CrashHistory());
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend');
  const recalled: string[] = [];
  const reason = UnknownReason.Disconnected;
  const client: Pick<ZoneClient, 'delegateTask' | 'recall'> = {
    delegateTask: () =>
      Promise.resolve(Err({kind: PeerFailureKind.Unknown, reason})),
    recall: ({task}) => {
      recalled.push(task);
      return Promise.resolve(Ok(recalled.length >= acceptedAttempt));
    },
  };
  const delegator = new TaskDelegator({
    zone: 'west',
    token: 7,
    dispatcher,
    crashes: new CrashHistory(),
    findZoneClient: () => client as ZoneClient,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    onChange: () => undefined,
  });
  await delegator.delegate(command);
  return {recalled, task: command.run.key};
}

test('a delegated task that counts as lost is recalled from its zone', async () => {
  const {recalled, task} = await loseDelegatedTask(1);
  assert.deepEqual(recalled, [task]);
});

test('the recall of a lost delegated task is retried until its zone accepts it', async () => {
  const {recalled, task} = await loseDelegatedTask(2);
  while (recalled.length < 2) await sleep(20);
  assert.deepEqual(recalled, [task, task]);
});

/** A delegated task whose job is cancelled, and what its zone is asked. */
class CancelledDelegation {
  readonly recalled: string[] = [];
  readonly joined: boolean[] = [];
  readonly dispatcher = createBusyDispatcher(readClock(), new CrashHistory());
  readonly lend: DelegateCommand;
  readonly delegator: TaskDelegator;
  /** Ends the pending delegation call. */
  loseConnection: () => void = () => undefined;

  /** Its zone accepts the recall at the attempt `acceptedAttempt`. */
  constructor(acceptedAttempt: number) {
    const [lend] = this.dispatcher.tick(readClock());
    assert.ok(lend?.kind === 'lend');
    this.lend = lend;
    const kind = PeerFailureKind.Unknown as const;
    const timedOut = Err({kind, reason: UnknownReason.TimedOut});
    const disconnected = Err({kind, reason: UnknownReason.Disconnected});
    const client: Pick<ZoneClient, 'delegateTask' | 'recall'> = {
      delegateTask: ({isJoin}) => {
        this.joined.push(isJoin);
        return new Promise(resolve => {
          this.loseConnection = () => resolve(disconnected);
        });
      },
      recall: ({task}) => {
        this.recalled.push(task);
        const isAccepted = this.recalled.length >= acceptedAttempt;
        return Promise.resolve(isAccepted ? Ok(true) : timedOut);
      },
    };
    this.delegator = new TaskDelegator({
      zone: 'west',
      token: 7,
      dispatcher: this.dispatcher,
      crashes: new CrashHistory(),
      findZoneClient: () => client as ZoneClient,
      logger: noopLogger,
      metrics: new ZoneMetrics(),
      onChange: () => undefined,
    });
  }

  /** Cancels the job; returns the recall that is due. */
  cancel(): RecallCommand {
    const now = readClock();
    this.dispatcher.cancel('b', AbandonReason.OwnerLost, now);
    const [recall] = this.dispatcher.tick(now);
    assert.ok(recall?.kind === 'recall');
    return recall;
  }
}

/** Longer than two pauses between recalls, in ms. */
const RECALLS_MS = 500;

test('the recall of a cancelled task is sent again until its zone accepts it', async () => {
  const delegation = new CancelledDelegation(3);
  await delegation.delegator.recall(delegation.cancel());
  await sleep(RECALLS_MS);
  assert.equal(delegation.recalled.length, 3);
  await sleep(RECALLS_MS);
  assert.equal(delegation.recalled.length, 3);
});

test('recalls of a cancelled task that fail together are repeated as one, and its end is not put off', async () => {
  const delegation = new CancelledDelegation(Infinity);
  const recall = delegation.cancel();
  await delegation.delegator.recall(recall);
  const {run} = delegation.lend;
  const {latestEndAt} = run;
  await sleep(20);
  await delegation.delegator.recall(recall);
  assert.equal(run.latestEndAt, latestEndAt);
  await sleep(300);
  delegation.dispatcher.handleDelegatedEnd(run, RunEnd.Stopped, readClock());
  // Two by the dispatcher, one with the first failure, one repeated.
  assert.equal(delegation.recalled.length, 4);
});

test('a cancelled task is not recalled again when its run has ended', async () => {
  const delegation = new CancelledDelegation(Infinity);
  const recall = delegation.cancel();
  const failed = delegation.delegator.recall(recall);
  const {run} = delegation.lend;
  delegation.dispatcher.handleDelegatedEnd(run, RunEnd.Stopped, readClock());
  await failed;
  await sleep(RECALLS_MS);
  assert.equal(delegation.recalled.length, 1);
});

test('the result of a cancelled task is not requested again when the connection is lost, as that could start it', async () => {
  const delegation = new CancelledDelegation(1);
  const delegated = delegation.delegator.delegate(delegation.lend);
  await delegation.delegator.recall(delegation.cancel());
  delegation.loseConnection();
  await Promise.race([delegated, sleep(RECALLS_MS)]);
  assert.deepEqual(delegation.joined, [false]);
  assert.equal(delegation.recalled.length, 2);
});
