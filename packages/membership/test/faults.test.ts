import assert from 'node:assert/strict';
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {readClock, silentLogger, sleep} from '@goldcrestpier/runtime';
import {InstanceState} from '../src/index.js';
import {
  createLifecycle,
  liveMembersSeenBy,
  startInstance,
  startTwoInstances,
  stateSeenBy,
  waitFor,
  type RunningInstance,
} from './fixtures.js';
import type {PausedInstanceReply} from './paused_instance.js';
import {startTcpRelay, type TcpRelay} from '@goldcrestpier/testing';

interface RelayedPair {
  readonly a: RunningInstance;
  readonly b: RunningInstance;
  readonly relays: readonly TcpRelay[];
  /** Messages that instance `a` logged. */
  readonly logMessages: string[];
}

/** Starts two instances in two zones, each reachable only through a relay. */
async function startRelayedPair(
  lifecycle: ReturnType<typeof createLifecycle>,
): Promise<RelayedPair> {
  const toA = await startTcpRelay(lifecycle);
  const toB = await startTcpRelay(lifecycle);
  const logMessages: string[] = [];
  const record = (message: string) => void logMessages.push(message);
  const logger = {
    ...silentLogger,
    info: record,
    warn: record,
    error: record,
  };
  const a = await startInstance({
    lifecycle,
    name: 'a',
    zone: 'east',
    advertisedAddress: toA.address,
    overrides: {logger},
  });
  toA.targetPort = a.port;
  const b = await startInstance({
    lifecycle,
    name: 'b',
    zone: 'west',
    advertisedAddress: toB.address,
    seeds: [toA.address],
  });
  toB.targetPort = b.port;
  const pair = {a, b, relays: [toA, toB], logMessages};
  await waitFor('both instances to see each other', () => areBothLive(pair));
  return pair;
}

function areBothLive({a, b}: RelayedPair): boolean {
  return [a, b].every(each => liveMembersSeenBy(each) === 'east/a west/b');
}

test('partitioned zones keep operating and rejoin after the partition heals', async context => {
  const lifecycle = createLifecycle(context);
  const pair = await startRelayedPair(lifecycle);
  const {a, b, relays} = pair;
  for (const relay of relays) relay.isDropping = true;
  await waitFor(
    'the heartbeat timeout',
    () => liveMembersSeenBy(a) === 'east/a',
  );
  await waitFor(
    'the heartbeat timeout',
    () => liveMembersSeenBy(b) === 'west/b',
  );
  assert.equal(a.membership.isSettingsWatcher('east', readClock()), true);
  assert.equal(b.membership.isSettingsWatcher('west', readClock()), true);
  await sleep(500);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
  assert.equal(b.membership.isGone(a.incarnation, readClock()), false);
  for (const relay of relays) {
    relay.isDropping = false;
    relay.closeConnections();
  }
  await waitFor('both instances to see each other', () => areBothLive(pair));
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
});

test('a flapping link does not flood the log', async context => {
  const lifecycle = createLifecycle(context);
  const pair = await startRelayedPair(lifecycle);
  const [, toB] = pair.relays;
  assert.ok(toB !== undefined);
  const startedAt = readClock();
  let changes = 0;
  void pair.a.membership.changes.observe(({changed}) => {
    changes += changed.length;
  });
  for (let flap = 0; flap < 4; flap += 1) {
    for (const relay of pair.relays) relay.isDropping = true;
    await waitFor(
      'the heartbeat timeout',
      () => liveMembersSeenBy(pair.a) === 'east/a',
    );
    for (const relay of pair.relays) {
      relay.isDropping = false;
      relay.closeConnections();
    }
    await waitFor('both instances to see each other', () => areBothLive(pair));
  }
  assert.ok(changes >= 8);
  const timeoutMessages = pair.logMessages.filter(
    message => message === 'instance is not responding',
  );
  // The log is limited to one line per ten seconds, even on a slow machine.
  const allowed = 1 + Math.ceil((readClock() - startedAt) / 10_000);
  assert.ok(timeoutMessages.length >= 1 && timeoutMessages.length <= allowed);
});

test('an instance that is unreachable at its advertised address is not a member', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const seeds = [a.address];
  const receivedFrom: string[] = [];
  void a.membership.heartbeats.observe(({message}) => {
    receivedFrom.push(message.from.instance);
  });
  await startInstance({
    lifecycle,
    name: 'b',
    seeds,
    advertisedAddress: '127.0.0.1:1',
  });
  await waitFor('heartbeats from b', () => receivedFrom.length > 5);
  assert.equal(liveMembersSeenBy(a), 'east/a');
});

test('a killed instance is suspect as soon as its host refuses connections', async context => {
  const longTimeout = {minTimeoutMs: 10 * 60 * 1000};
  const {a, b} = await startTwoInstances(context, longTimeout);
  await b.stop();
  await waitFor(
    'the refused connection',
    () => liveMembersSeenBy(a) === 'east/a',
  );
  assert.equal(stateSeenBy(a, b.incarnation), InstanceState.Suspect);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
});

test('a resumed process treats data it reads as having arrived before the pause', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const path = fileURLToPath(new URL('paused_instance.js', import.meta.url));
  const child = fork(path, [a.address, a.incarnation]);
  lifecycle.own('child', async () => {
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  });
  await waitFor(
    'the child to be live',
    () => liveMembersSeenBy(a) === 'east/a east/paused',
  );
  let before = await query(child);
  while (before.ownerClock === undefined) before = await query(child);
  assert.equal(a.membership.isGone(before.incarnation, readClock()), false);
  for (let round = 1; round <= 2; round += 1) {
    child.kill('SIGSTOP');
    await waitFor(
      'the heartbeat timeout',
      () => liveMembersSeenBy(a) === 'east/a',
    );
    const sentAt = readClock();
    const answering = query(child);
    // Heartbeats of this process reach the child after the query.
    await sleep(700);
    child.kill('SIGCONT');
    const answer = await answering;
    assert.ok((answer.ownerClock ?? Infinity) <= sentAt);
    assert.ok(answer.pausesDetected >= round);
    await waitFor(
      'the child to be live',
      () => liveMembersSeenBy(a) === 'east/a east/paused',
    );
    const isGone = a.membership.isGone(answer.incarnation, readClock());
    assert.equal(isGone, false);
  }
});

async function query(child: ChildProcess): Promise<PausedInstanceReply> {
  const answered = once(child, 'message');
  child.send('query');
  const [answer] = (await answered) as [PausedInstanceReply];
  return answer;
}
