import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {InstanceState, ListedState, pickMember} from '../src/index.js';
import {
  createLifecycle,
  liveMembersSeenBy,
  startInstance,
  startTwoInstances,
  stateSeenBy,
  waitFor,
  type RunningInstance,
} from './fixtures.js';

test('six instances with one seed discover each other and agree on roles and picks', async context => {
  const lifecycle = createLifecycle(context);
  const first = await startInstance({lifecycle, name: 'a'});
  const seeds = [first.address];
  const others = await Promise.all(
    ['b', 'c', 'd', 'e', 'f'].map((name, index) => {
      const zone = index % 2 === 0 ? 'west' : 'east';
      return startInstance({lifecycle, name, zone, seeds});
    }),
  );
  const all = [first, ...others];
  const expectedMembers = 'east/a east/c east/e west/b west/d west/f';
  await waitFor('all views to agree', () =>
    all.every(instance => liveMembersSeenBy(instance) === expectedMembers),
  );
  for (const zone of ['east', 'west']) {
    const watchers = all.map(
      ({membership}) =>
        all.filter(each => each.membership.isSettingsWatcher(zone, readClock()))
          .length +
        (membership.settingsWatchers(zone).watcher?.incarnation ?? ''),
    );
    assert.equal(new Set(watchers).size, 1);
    const picked = all.map(
      ({membership}) =>
        pickMember('runner-1', membership.members(zone))?.incarnation,
    );
    assert.equal(new Set(picked).size, 1);
  }
});

test('a stopped instance is suspect and not gone until the list removes it', async context => {
  const {a, b} = await startTwoInstances(context);
  const entry = (each: RunningInstance, name: string) => ({
    name,
    zone: 'east',
    state: ListedState.Live,
    peerAddress: each.address,
  });
  a.publishList([entry(a, 'a'), entry(b, 'b')]);
  await b.stop();
  await waitFor(
    'the heartbeat timeout',
    () => liveMembersSeenBy(a) === 'east/a',
  );
  assert.equal(stateSeenBy(a, b.incarnation), InstanceState.Suspect);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
  await waitFor('the removal from the list', () => {
    a.publishList([entry(a, 'a')]);
    return a.membership.isGone(b.incarnation, readClock());
  });
});

test('after a restart at the same address the earlier incarnation is gone', async context => {
  const {lifecycle, a, b, seeds} = await startTwoInstances(context);
  await b.stop();
  const {port} = b;
  const later = await startInstance({lifecycle, name: 'b', seeds, port});
  await waitFor('the later b to be live', () => {
    return stateSeenBy(a, later.incarnation) === InstanceState.Live;
  });
  await waitFor('the earlier b to be gone', () =>
    a.membership.isGone(b.incarnation, readClock()),
  );
  assert.equal(a.membership.isGone(later.incarnation, readClock()), false);
  assert.notEqual(a.membership.findLink(later.incarnation), undefined);
});

test('after a restart at another address the earlier incarnation is gone once unresponsive', async context => {
  const {lifecycle, a, b, seeds} = await startTwoInstances(context);
  await b.stop();
  const later = await startInstance({lifecycle, name: 'b', seeds});
  await waitFor('the earlier b to be gone', () =>
    a.membership.isGone(b.incarnation, readClock()),
  );
  assert.equal(stateSeenBy(a, later.incarnation), InstanceState.Live);
});

test('an earlier incarnation never seen here is gone once a later one answers', async context => {
  const {a, b} = await startTwoInstances(context);
  const earlier = 'east.b.000000000000';
  const unknownIncarnation = 'east.x.000000000000';
  assert.equal(a.membership.isGone(earlier, readClock()), false);
  assert.equal(a.membership.isGone(unknownIncarnation, readClock()), false);
  await waitFor('the earlier b to be gone', () =>
    a.membership.isGone(earlier, readClock()),
  );
  assert.equal(a.membership.isGone(unknownIncarnation, readClock()), false);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
});

test('a leaving instance is no longer a member, and all peers learn its successor', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds});
  const c = await startInstance({lifecycle, name: 'c', seeds, zone: 'west'});
  const all = [a, b, c];
  await waitFor('three members', () =>
    all.every(each => liveMembersSeenBy(each) === 'east/a east/b west/c'),
  );
  await b.membership.leave(readClock());
  for (const each of [a, c]) {
    assert.equal(stateSeenBy(each, b.incarnation), InstanceState.Leaving);
    assert.equal(liveMembersSeenBy(each), 'east/a west/c');
  }
  const successor = b.membership.chooseSuccessor(readClock());
  assert.equal(successor?.incarnation, a.incarnation);
  await b.membership.announceSuccessor(a.incarnation, readClock());
  for (const each of [a, c]) {
    const known = each.membership.successorOf(b.incarnation, readClock());
    assert.equal(known, a.incarnation);
  }
  await b.stop();
  const d = await startInstance({lifecycle, name: 'd', seeds});
  await waitFor('the new peer to learn the successor', () => {
    return (
      d.membership.successorOf(b.incarnation, readClock()) === a.incarnation
    );
  });
});

test('heartbeat payloads reach the peers that they are addressed to', async context => {
  const lifecycle = createLifecycle(context);
  const spare = [{pool: 'worker', free: 3, speed: 1.5}];
  const grantsFor = (holder: string) => [{grant: `for ${holder}`, server: 's'}];
  const payload = {spare: () => spare, grantsInUse: grantsFor};
  const a = await startInstance({lifecycle, name: 'a'});
  const receivedGrants: string[] = [];
  void a.membership.heartbeats.observe(({message}) => {
    receivedGrants.push(...message.grantsInUse.map(({grant}) => grant));
    assert.deepEqual(message.spare, spare);
  });
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds, payload});
  await waitFor('the grants', () =>
    receivedGrants.includes(`for ${a.incarnation}`),
  );
  assert.ok(receivedGrants.every(grant => grant === `for ${a.incarnation}`));
  const clock = await waitForClock(a, b.incarnation);
  assert.ok(clock <= readClock());
});

test('a stale clock reading is refreshed on request', async context => {
  const lifecycle = createLifecycle(context);
  const heartbeat = {intervalMs: 60 * 60 * 1000, minTimeoutMs: 60 * 60 * 1000};
  const a = await startInstance({lifecycle, name: 'a', heartbeat});
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds, heartbeat});
  await waitFor('b to be live', () => liveMembersSeenBy(a) === 'east/a east/b');
  await waitForClock(a, b.incarnation);
  await sleep(1_200);
  const arrivedAt = a.membership.arrivalTime(readClock());
  const stale = a.membership.ownerClock(b.incarnation, readClock());
  const refreshes = [1, 2, 3].map(() =>
    a.membership.refreshOwnerClock(b.incarnation, arrivedAt),
  );
  for (const clock of await Promise.all(refreshes)) {
    assert.ok(clock !== undefined);
    // Both instances share one clock, as they run in one process.
    assert.ok(clock <= arrivedAt);
    assert.ok(clock > (stale ?? Infinity));
  }
  const unknownIncarnation = 'east.x.000000000000';
  const unknown = await a.membership.refreshOwnerClock(
    unknownIncarnation,
    readClock(),
  );
  assert.equal(unknown, undefined);
});

async function waitForClock(
  {membership}: RunningInstance,
  incarnation: string,
): Promise<number> {
  const find = () => membership.ownerClock(incarnation, readClock());
  await waitFor('a clock reading', () => find() !== undefined);
  return find() ?? Infinity;
}

test('an instance that is listed as its own seed does not become its own peer', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const b = await startInstance({
    lifecycle,
    name: 'b',
    seeds: [a.address, `localhost:${a.port}`],
  });
  const other = await startInstance({lifecycle, name: 'c', seeds: [b.address]});
  await waitFor('three members', () =>
    [a, b, other].every(
      each => liveMembersSeenBy(each) === 'east/a east/b east/c',
    ),
  );
});
