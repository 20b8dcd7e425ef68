import assert from 'node:assert/strict';
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {readClock, silentLogger, sleep} from '@goldcrestpier/runtime';
import {InstanceState} from '../src/index.js';
import {
  createLifecycle,
  namesSeenBy,
  startInstance,
  stateSeenBy,
  waitFor,
  type RunningInstance,
} from './fixtures.js';
import type {StoppedAnswer} from './stopped_instance.js';
import {startRelay, type TcpRelay} from '@goldcrestpier/testing';

interface CutPair {
  readonly a: RunningInstance;
  readonly b: RunningInstance;
  readonly relays: readonly TcpRelay[];
  /** Lines that the first one logged. */
  readonly lines: string[];
}

/** Two instances of two zones; each is reached through a relay. */
async function startCutPair(
  lifecycle: ReturnType<typeof createLifecycle>,
): Promise<CutPair> {
  const toA = await startRelay(lifecycle);
  const toB = await startRelay(lifecycle);
  const lines: string[] = [];
  const note = (message: string) => void lines.push(message);
  const logger = {...silentLogger, info: note, warn: note, error: note};
  const a = await startInstance({
    lifecycle,
    name: 'a',
    zone: 'east',
    advertised: toA.address,
    changes: {logger},
  });
  toA.targetPort = a.port;
  const b = await startInstance({
    lifecycle,
    name: 'b',
    zone: 'west',
    advertised: toB.address,
    seeds: [toA.address],
  });
  toB.targetPort = b.port;
  const pair = {a, b, relays: [toA, toB], lines};
  await waitFor('both', () => seeEachOther(pair));
  return pair;
}

function seeEachOther({a, b}: CutPair): boolean {
  return [a, b].every(each => namesSeenBy(each) === 'east/a west/b');
}

test('zones that are cut from each other go on by themselves and meet again', async context => {
  const lifecycle = createLifecycle(context);
  const pair = await startCutPair(lifecycle);
  const {a, b, relays} = pair;
  for (const relay of relays) relay.swallow = true;
  await waitFor('silence', () => namesSeenBy(a) === 'east/a');
  await waitFor('silence', () => namesSeenBy(b) === 'west/b');
  assert.equal(a.membership.isWatcher('east', readClock()), true);
  assert.equal(b.membership.isWatcher('west', readClock()), true);
  await sleep(500);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
  assert.equal(b.membership.isGone(a.incarnation, readClock()), false);
  for (const relay of relays) {
    relay.swallow = false;
    relay.cut();
  }
  await waitFor('both', () => seeEachOther(pair));
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
});

test('a link that flaps does not flood the log', async context => {
  const lifecycle = createLifecycle(context);
  const pair = await startCutPair(lifecycle);
  const [, toB] = pair.relays;
  assert.ok(toB !== undefined);
  const startedAt = readClock();
  let changes = 0;
  void pair.a.membership.changes.observe(({changed}) => {
    changes += changed.length;
  });
  for (let flap = 0; flap < 4; flap += 1) {
    for (const relay of pair.relays) relay.swallow = true;
    await waitFor('silence', () => namesSeenBy(pair.a) === 'east/a');
    for (const relay of pair.relays) {
      relay.swallow = false;
      relay.cut();
    }
    await waitFor('both', () => seeEachOther(pair));
  }
  assert.ok(changes >= 8);
  const silences = pair.lines.filter(line => line === 'instance is silent');
  // One line in ten seconds, however long a busy machine takes.
  const allowed = 1 + Math.ceil((readClock() - startedAt) / 10_000);
  assert.ok(silences.length >= 1 && silences.length <= allowed);
});

test('an instance that cannot be reached at its address is no member', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const seeds = [a.address];
  const heard: string[] = [];
  void a.membership.heartbeats.observe(({message}) => {
    heard.push(message.from.instance);
  });
  await startInstance({lifecycle, name: 'b', seeds, advertised: '127.0.0.1:1'});
  await waitFor('heartbeats', () => heard.length > 5);
  assert.equal(namesSeenBy(a), 'east/a');
});

test('a killed instance is suspect as soon as its host refuses connections', async context => {
  const lifecycle = createLifecycle(context);
  const patient = {minSilenceMs: 10 * 60 * 1000};
  const a = await startInstance({lifecycle, name: 'a', pace: patient});
  const b = await startInstance({lifecycle, name: 'b', seeds: [a.address]});
  await waitFor('b', () => namesSeenBy(a) === 'east/a east/b');
  await b.stop();
  await waitFor('the refusal', () => namesSeenBy(a) === 'east/a');
  assert.equal(stateSeenBy(a, b.incarnation), InstanceState.Suspect);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
});

test('a process that was stopped takes what it reads for as old as its stop', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const path = fileURLToPath(new URL('stopped_instance.js', import.meta.url));
  const child = fork(path, [a.address, a.incarnation]);
  lifecycle.own('child', async () => {
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  });
  await waitFor('the child', () => namesSeenBy(a) === 'east/a east/stopped');
  let before = await ask(child);
  while (before.ownerClock === undefined) before = await ask(child);
  assert.equal(a.membership.isGone(before.incarnation, readClock()), false);
  for (let stop = 1; stop <= 2; stop += 1) {
    child.kill('SIGSTOP');
    await waitFor('silence', () => namesSeenBy(a) === 'east/a');
    const sentAt = readClock();
    const answering = ask(child);
    // Heartbeats of this process arrive at the child after the question.
    await sleep(700);
    child.kill('SIGCONT');
    const answer = await answering;
    assert.ok((answer.ownerClock ?? Infinity) <= sentAt);
    assert.ok(answer.stopsNoticed >= stop);
    await waitFor('the child', () => namesSeenBy(a) === 'east/a east/stopped');
    const isGone = a.membership.isGone(answer.incarnation, readClock());
    assert.equal(isGone, false);
  }
});

async function ask(child: ChildProcess): Promise<StoppedAnswer> {
  const answered = once(child, 'message');
  child.send('what do you make of this');
  const [answer] = (await answered) as [StoppedAnswer];
  return answer;
}
