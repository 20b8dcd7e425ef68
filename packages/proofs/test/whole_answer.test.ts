import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {connect} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {jobAnswerSchema} from '@goldcrestpier/protocol';
import {
  assertNoDuplicateStarts,
  assertComplete,
  countStarts,
  createJob,
  expectAnswer,
  ReplyKind,
  ClusterFixture,
  type JobBody,
} from '../src/index.js';

const JOBS = 1_000;
const LARGE_BYTES = 200_000;

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch();
});

after(() => fixture.close());

/**
 * Creates a job whose results name it, so that mixed-up answers are detected.
 */
function createNamedJob(name: string, tasks: number, more: object = {}) {
  return {
    deadlineMs: 60_000,
    tasks: Array.from({length: tasks}, (_, index) => ({
      service: 'invoicing',
      declaredMs: 5,
      payload: {runMs: 5 + ((index * 7) % 20), echo: {name, index}, ...more},
    })),
  };
}

test('each of 1,000 interleaved jobs gets its own whole answer, with replies late and out of order', async () => {
  const sessions = await Promise.all(
    fixture.entries.map(entry => fixture.createCaller(entry).openSession()),
  );
  const {servers} = fixture.cluster;
  await Promise.all(
    servers.map(({admin}, index) =>
      admin.setFaults({replyDelayMs: (index % 3) * 30}),
    ),
  );
  const pick = <Item>(items: readonly Item[], number: number) =>
    items[number % items.length] as Item;
  const send = async (number: number) => {
    const session = pick(sessions, number);
    // Every second submission goes to an instance that doesn't own the session.
    const entry = pick(fixture.entries, number + (number % 2));
    const job = createNamedJob(`job-${number}`, 1 + (number % 4));
    const reply = await fixture
      .createCaller(entry)
      .submit(session, `job-${number}`, job);
    assertComplete(expectAnswer(reply), job);
  };
  await Promise.all(Array.from({length: JOBS}, (_, number) => send(number)));
  await fixture.cluster.setFaults({});
  await assertNoDuplicateStarts(fixture.cluster);
});

test('a large answer is complete, also through another instance', async () => {
  const session = await fixture.createCallerTo('e1-1').openSession();
  const job = createNamedJob('large', 20, {resultBytes: LARGE_BYTES});
  for (const name of ['e1-1', 'e3-2']) {
    const reply = await fixture
      .createCallerTo(name)
      .submit(session, 'large', job);
    const answer = expectAnswer(reply);
    assertComplete(answer, job);
    for (const {result} of answer.tasks) {
      const {filling} = result as {filling: string};
      assert.equal(filling.length, LARGE_BYTES);
    }
  }
  assert.equal(await countStarts(fixture.cluster, session, 'large'), 20);
});

test("a slow reader gets its complete answer and doesn't delay other callers", async () => {
  const entry = fixture.cluster.entry('e2-1');
  const caller = fixture.createCaller(entry);
  const session = await caller.openSession();
  const job = createNamedJob('slow', 20, {resultBytes: LARGE_BYTES});
  const slow = readSlowly(entry.url, session, 'slow', job);
  const quick = createJob(10, 5);
  for (let turn = 0; turn < 5; turn += 1) {
    const reply = await caller.submit(session, `quick-${turn}`, quick);
    assertComplete(expectAnswer(reply), quick);
  }
  assertComplete(jobAnswerSchema.parse(JSON.parse(await slow)), job);
});

test('a caller that disconnects gets the same answer through other instances', async () => {
  const session = await fixture.createCallerTo('e3-1').openSession();
  const job = createNamedJob('dropped', 30);
  const dropped = new AbortController();
  const first = fixture
    .createCallerTo('e1-2')
    .submit(session, 'dropped', job, {attempt: 1, signal: dropped.signal});
  await pause(30);
  dropped.abort();
  assert.equal((await first).kind, ReplyKind.NoResponse);
  const replies = await Promise.all(
    ['e2-2', 'e1-1', 'e3-1'].map(name =>
      fixture
        .createCallerTo(name)
        .submit(session, 'dropped', job, {attempt: 1}),
    ),
  );
  const answers = replies.map(expectAnswer);
  for (const answer of answers) {
    assertComplete(answer, job);
    assert.deepEqual(answer, answers[0]);
  }
  assert.equal(await countStarts(fixture.cluster, session, 'dropped'), 30);
});

/** Submits over a socket that is read with pauses. Resolves with the body. */
function readSlowly(
  url: string,
  session: string,
  key: string,
  job: JobBody,
): Promise<string> {
  const {hostname, port} = new URL(url);
  const socket = connect({host: hostname, port: Number(port)});
  const body = JSON.stringify(job);
  const path = `/v1/sessions/${session}/jobs/${key}?attempt=1&wait=60000`;
  socket.write(
    `PUT ${path} HTTP/1.1\r\nhost: ${hostname}\r\nconnection: close\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    socket.on('error', reject);
    socket.on('data', part => {
      parts.push(part);
      socket.pause();
      setTimeout(() => socket.resume(), 5);
    });
    socket.on('end', () => {
      const text = Buffer.concat(parts).toString();
      resolve(text.slice(text.indexOf('\r\n\r\n') + 4));
    });
  });
}
