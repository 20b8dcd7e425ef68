import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  TaskHistory,
  RefusalReason,
  type Command,
} from '@goldcrestpier/dispatch';
import {PeerFailureKind, UnknownReason} from '@goldcrestpier/peers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import type {
  JobAnswer,
  DelegationAnswer,
  TaskDelegation,
  ZoneCallFailure,
  ZoneClient,
} from '../src/protocol/index.js';
import {createDelegator} from './fixtures/delegator.js';
import {
  createBusyDispatcher,
  createDispatcher,
  createJob,
} from './fixtures/dispatcher.js';

const freeCapacity = {
  service: 'pricing',
  vacancies: [[1, 64_000, 1_000, 1]],
} satisfies {
  service: string;
  vacancies: Array<[number, number, number, number]>;
};

/** Whether a task is delegated again after the first attempt got this answer. */
async function isDelegatedAgain(answer: DelegationAnswer): Promise<boolean> {
  const now = readClock();
  const history = new TaskHistory();
  const dispatcher = createBusyDispatcher(now, history);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend');
  const client: Pick<ZoneClient, 'delegateTask'> = {
    delegateTask: () => Promise.resolve(Ok(answer)),
  };
  const delegator = createDelegator(dispatcher, client, {history});
  await delegator.delegate(command);
  return dispatcher.tick(now).some(({kind}) => kind === 'lend');
}

const runLost = {kind: 'abandoned', reason: AbandonReason.RunLost} as const;
const unknown = {
  kind: PeerFailureKind.Unknown,
  reason: UnknownReason.Disconnected,
} as const;
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

/** Starts of a task that an earlier holder delegated, after it was asked for. */
async function findStarts(client: ZoneClient | undefined): Promise<string[]> {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const state = {kind: 'lent', run: 4, zone: 'east', tookMs: 5} as const;
  const task = {key: 'a.0.0.0', lastRun: 4, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  dispatcher.submit(createJob('a', 1, now), true, now, progress);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend' && command.isAdopted);
  const delegator = createDelegator(dispatcher, client);
  await delegator.delegate(command);
  return formatRuns(dispatcher.tick(readClock()));
}

function formatRuns(commands: readonly Command[]): string[] {
  return commands.map(command => {
    const isRun = command.kind === 'start' || command.kind === 'lend';
    return isRun
      ? `${command.kind} ${command.run.key}/${command.run.number}`
      : command.kind;
  });
}

/** Creates a client of a zone that gives this answer to each delegated task. */
function createClientAnswering(answer: JobAnswer): ZoneClient {
  return createClient(() => Ok({answer}));
}

/** Creates a client of a zone that accepts each recall. */
function createClient(
  answer: (
    message: TaskDelegation,
  ) => Result<DelegationAnswer, ZoneCallFailure>,
): ZoneClient {
  const client: Pick<ZoneClient, 'delegateTask' | 'recall'> = {
    delegateTask: message => Promise.resolve(answer(message)),
    recall: () => Promise.resolve(Ok(true)),
  };
  return client as ZoneClient;
}

test('a task that an earlier holder delegated continues while its zone is unreachable', async () => {
  assert.deepEqual(await findStarts(undefined), []);
});

test('a task that an earlier holder delegated continues while its zone has no holder', async () => {
  const answer = {kind: 'not_holder', mayHaveStarted: false} as const;
  assert.deepEqual(await findStarts(createClientAnswering(answer)), []);
});

test('a task that an earlier holder delegated continues while its zone does not answer', async () => {
  assert.deepEqual(await findStarts(createClient(() => Err(unknown))), []);
});

test('a task that a later holder of this zone may have delegated is not started again', async () => {
  const answer = {...refusal, reason: RefusalReason.Outdated};
  assert.deepEqual(await findStarts(createClientAnswering(answer)), []);
});

test('a task that an earlier holder delegated is not held back once it runs nowhere', async () => {
  const starts = await findStarts(createClientAnswering(runLost));
  assert.deepEqual(starts, ['start a.0.0.0/5']);
});

/**
 * Starts of a delegated task of which the zone, asked again, says that it runs
 * nowhere; `first` is the answer to the delegation itself.
 */
async function findStartsAfter(
  first: Result<DelegationAnswer, ZoneCallFailure>,
): Promise<string[]> {
  const now = readClock();
  const history = new TaskHistory();
  const dispatcher = createBusyDispatcher(now, history);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend');
  const client = createClient(({isJoin}) =>
    isJoin ? Ok({answer: runLost}) : first,
  );
  const delegator = createDelegator(dispatcher, client, {history});
  await delegator.delegate(command);
  const vacancies = [{slowness: 1, cpuMillis: 64_000, memoryMb: 1_000}];
  const capacity = {zone: 'north', service: 'pricing', vacancies};
  dispatcher.updateZoneVacancies(capacity, now);
  return formatRuns(dispatcher.tick(readClock()));
}

test('a task that a former holder of its zone never ran is not held back', async () => {
  const answer = {kind: 'not_holder', mayHaveStarted: true} as const;
  assert.deepEqual(await findStartsAfter(Ok({answer})), ['lend b.0.0.0/2']);
});

test('a task whose delegation may still arrive is not started again', async () => {
  assert.deepEqual(await findStartsAfter(Err(unknown)), []);
});

/** Loses a delegated task; its zone accepts the recall at `acceptedAttempt`. */
async function loseDelegatedTask(acceptedAttempt: number) {
  const now = readClock();
  const dispatcher = createBusyDispatcher(now, new TaskHistory());
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
  const delegator = createDelegator(dispatcher, client);
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
