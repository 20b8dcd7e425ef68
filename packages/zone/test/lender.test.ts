import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RefusalReason,
  type Dispatcher,
} from '@goldcrestpier/dispatch';
import {PeerFailureKind, UnknownReason} from '@goldcrestpier/peers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {Lender} from '../src/holder/lender.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {JobAnswer, LentAnswer, ZoneCalls} from '../src/protocol/index.js';
import {createDispatcher, createJob, quiet} from './fixtures/scene.js';

const room = {
  service: 'pricing',
  vacancies: [[1, 64_000, 1_000, 1]],
} satisfies {
  service: string;
  vacancies: Array<[number, number, number, number]>;
};

/** A dispatcher whose worker is busy, and which knows of room in the east. */
function createBusy(now: number): Dispatcher {
  const dispatcher = createDispatcher(now);
  dispatcher.submit(createJob('a', 2, now), false, now);
  dispatcher.tick(now);
  const vacancies = [{slowness: 1, cpuMillis: 30_000, memoryMb: 1_000}];
  dispatcher.tellRoom({zone: 'east', service: 'pricing', vacancies}, now);
  dispatcher.submit(createJob('b', 1, now), false, now);
  return dispatcher;
}

/** Whether a refused task is lent again, with this answer to the first time. */
async function isLentAgain(answer: LentAnswer): Promise<boolean> {
  const now = readClock();
  const dispatcher = createBusy(now);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend');
  const calls: Pick<ZoneCalls, 'lend'> = {
    lend: () => Promise.resolve(Ok(answer)),
  };
  const lender = new Lender({
    zone: 'west',
    token: 7,
    dispatcher,
    findZone: () => calls as ZoneCalls,
    logger: quiet,
    metrics: new ZoneMetrics(),
    onChange: () => undefined,
  });
  await lender.lend(command);
  return dispatcher.tick(now).some(({kind}) => kind === 'lend');
}

const refused = {
  kind: 'refused',
  reason: RefusalReason.TooLate,
  retryAfterMs: 1_000,
} as const;

test('a zone that refused a task is left alone until it tells of room', async () => {
  assert.equal(await isLentAgain({answer: refused}), false);
});

test('the room that an answer tells of is used at once', async () => {
  assert.equal(await isLentAgain({answer: refused, rooms: [room]}), true);
});

/** Whether a task that an earlier holder lent is started or lent again. */
async function isBegunAgain(calls: ZoneCalls | undefined): Promise<boolean> {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const state = {kind: 'lent', run: 4, zone: 'east', tookMs: 5} as const;
  const task = {key: 'a.0.0.0', lastRun: 4, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  dispatcher.submit(createJob('a', 1, now), true, now, progress);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend' && command.isAdopted);
  const lender = new Lender({
    zone: 'west',
    token: 7,
    dispatcher,
    findZone: () => calls,
    logger: quiet,
    metrics: new ZoneMetrics(),
    onChange: () => undefined,
  });
  await lender.lend(command);
  return dispatcher.tick(readClock()).length > 0;
}

/** Calls of a zone that gives this answer to whoever lends or joins. */
function answerWith(answer: JobAnswer): ZoneCalls {
  const calls: Pick<ZoneCalls, 'lend' | 'recall'> = {
    lend: () => Promise.resolve(Ok({answer})),
    recall: () => Promise.resolve(Ok(true)),
  };
  return calls as ZoneCalls;
}

test('a task that an earlier holder lent goes on while its zone is out of reach', async () => {
  assert.equal(await isBegunAgain(undefined), false);
});

test('a task that an earlier holder lent goes on while its zone has no holder', async () => {
  const answer = {kind: 'not_holder', mayHaveStarted: false} as const;
  assert.equal(await isBegunAgain(answerWith(answer)), false);
});

test('a task that an earlier holder lent goes on when its zone has a new holder too', async () => {
  const answer = {kind: 'abandoned', reason: AbandonReason.RunLost} as const;
  assert.equal(await isBegunAgain(answerWith(answer)), false);
});

/** Loses a lent task whose zone takes only that word to take it back. */
async function loseLentTask(takenAt: number) {
  const now = readClock();
  const dispatcher = createBusy(now);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'lend');
  const recalled: string[] = [];
  const reason = UnknownReason.Disconnected;
  const calls: Pick<ZoneCalls, 'lend' | 'recall'> = {
    lend: () => Promise.resolve(Err({kind: PeerFailureKind.Unknown, reason})),
    recall: ({task}) => {
      recalled.push(task);
      return Promise.resolve(Ok(recalled.length >= takenAt));
    },
  };
  const lender = new Lender({
    zone: 'west',
    token: 7,
    dispatcher,
    findZone: () => calls as ZoneCalls,
    logger: quiet,
    metrics: new ZoneMetrics(),
    onChange: () => undefined,
  });
  await lender.lend(command);
  return {recalled, task: command.run.key};
}

test('a lent task that counts as lost is taken back where it may go on', async () => {
  const {recalled, task} = await loseLentTask(1);
  assert.deepEqual(recalled, [task]);
});

test('a lent task that counts as lost is taken back until its zone takes the word', async () => {
  const {recalled, task} = await loseLentTask(2);
  while (recalled.length < 2) await sleep(20);
  assert.deepEqual(recalled, [task, task]);
});
