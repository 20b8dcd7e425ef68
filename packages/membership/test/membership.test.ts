import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {InstanceState, ListedState, pickHolder} from '../src/index.js';
import {
  createLifecycle,
  namesSeenBy,
  startInstance,
  stateSeenBy,
  waitFor,
  type RunningInstance,
} from './fixtures.js';

test('six instances that know only the first find each other and agree', async context => {
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
  const everyone = 'east/a east/c east/e west/b west/d west/f';
  await waitFor('one view', () =>
    all.every(instance => namesSeenBy(instance) === everyone),
  );
  for (const zone of ['east', 'west']) {
    const watchers = all.map(
      ({membership}) =>
        all.filter(each => each.membership.isWatcher(zone, readClock()))
          .length + (membership.watchers(zone).watcher?.incarnation ?? ''),
    );
    assert.equal(new Set(watchers).size, 1);
    const holders = all.map(
      ({membership}) =>
        pickHolder('runner-1', membership.members(zone))?.incarnation,
    );
    assert.equal(new Set(holders).size, 1);
  }
});

test('a stopped instance is silent but not gone until the list drops it', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const b = await startInstance({lifecycle, name: 'b', seeds: [a.address]});
  await waitFor('b', () => namesSeenBy(a) === 'east/a east/b');
  const entry = (each: RunningInstance, name: string) => ({
    name,
    zone: 'east',
    state: ListedState.Live,
    peerAddress: each.address,
  });
  a.showList([entry(a, 'a'), entry(b, 'b')]);
  await b.stop();
  await waitFor('silence', () => namesSeenBy(a) === 'east/a');
  assert.equal(stateSeenBy(a, b.incarnation), InstanceState.Suspect);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
  await waitFor('the drop', () => {
    a.showList([entry(a, 'a')]);
    return a.membership.isGone(b.incarnation, readClock());
  });
});

test('a restart at the same address ends the earlier run for ever', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds});
  await waitFor('b', () => namesSeenBy(a) === 'east/a east/b');
  await b.stop();
  const {port} = b;
  const later = await startInstance({lifecycle, name: 'b', seeds, port});
  await waitFor('the later b', () => {
    return stateSeenBy(a, later.incarnation) === InstanceState.Live;
  });
  await waitFor('the end of the earlier b', () =>
    a.membership.isGone(b.incarnation, readClock()),
  );
  assert.equal(a.membership.isGone(later.incarnation, readClock()), false);
  assert.notEqual(a.membership.findLink(later.incarnation), undefined);
});

test('a restart at another address ends the earlier run once that is silent', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds});
  await waitFor('b', () => namesSeenBy(a) === 'east/a east/b');
  await b.stop();
  const later = await startInstance({lifecycle, name: 'b', seeds});
  await waitFor('the end of the earlier b', () =>
    a.membership.isGone(b.incarnation, readClock()),
  );
  assert.equal(stateSeenBy(a, later.incarnation), InstanceState.Live);
});

test('a run that was never heard is gone once its instance answers as another', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const b = await startInstance({lifecycle, name: 'b', seeds: [a.address]});
  await waitFor('b', () => namesSeenBy(a) === 'east/a east/b');
  const earlier = 'east.b.000000000000';
  const stranger = 'east.x.000000000000';
  assert.equal(a.membership.isGone(earlier, readClock()), false);
  assert.equal(a.membership.isGone(stranger, readClock()), false);
  await waitFor('the end of the earlier b', () =>
    a.membership.isGone(earlier, readClock()),
  );
  assert.equal(a.membership.isGone(stranger, readClock()), false);
  assert.equal(a.membership.isGone(b.incarnation, readClock()), false);
});

test('a leaving instance gets no new work, and its successor is known to all', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds});
  const c = await startInstance({lifecycle, name: 'c', seeds, zone: 'west'});
  const all = [a, b, c];
  await waitFor('three', () =>
    all.every(each => namesSeenBy(each) === 'east/a east/b west/c'),
  );
  await b.membership.leave(readClock());
  for (const each of [a, c]) {
    assert.equal(stateSeenBy(each, b.incarnation), InstanceState.Leaving);
    assert.equal(namesSeenBy(each), 'east/a west/c');
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
  await waitFor('a newcomer that knows the successor', () => {
    return (
      d.membership.successorOf(b.incarnation, readClock()) === a.incarnation
    );
  });
});

test('what rides on heartbeats reaches the peers it is meant for', async context => {
  const lifecycle = createLifecycle(context);
  const spare = [{pool: 'worker', free: 3, speed: 1.5}];
  const grantsFor = (holder: string) => [{grant: `for ${holder}`, server: 's'}];
  const load = {spare: () => spare, grantsInUse: grantsFor};
  const a = await startInstance({lifecycle, name: 'a'});
  const heard: string[] = [];
  void a.membership.heartbeats.observe(({message}) => {
    heard.push(...message.grantsInUse.map(({grant}) => grant));
    assert.deepEqual(message.spare, spare);
  });
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds, load});
  await waitFor('grants', () => heard.includes(`for ${a.incarnation}`));
  assert.ok(heard.every(grant => grant === `for ${a.incarnation}`));
  const clock = await waitForClock(a, b.incarnation);
  assert.ok(clock <= readClock());
});

test('a clock that was not heard lately is heard before a relay', async context => {
  const lifecycle = createLifecycle(context);
  const pace = {intervalMs: 60 * 60 * 1000, minSilenceMs: 60 * 60 * 1000};
  const a = await startInstance({lifecycle, name: 'a', pace});
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds, pace});
  await waitFor('b', () => namesSeenBy(a) === 'east/a east/b');
  await waitForClock(a, b.incarnation);
  await sleep(1_200);
  const arrivedAt = a.membership.arrivalTime(readClock());
  const stale = a.membership.ownerClock(b.incarnation, readClock());
  const asked = [1, 2, 3].map(() =>
    a.membership.learnOwnerClock(b.incarnation, arrivedAt),
  );
  for (const clock of await Promise.all(asked)) {
    assert.ok(clock !== undefined);
    // One clock serves both, as they run in one process.
    assert.ok(clock <= arrivedAt);
    assert.ok(clock > (stale ?? Infinity));
  }
  const stranger = 'east.x.000000000000';
  const unknown = await a.membership.learnOwnerClock(stranger, readClock());
  assert.equal(unknown, undefined);
});

async function waitForClock(
  {membership}: RunningInstance,
  incarnation: string,
): Promise<number> {
  const find = () => membership.ownerClock(incarnation, readClock());
  await waitFor('a clock', () => find() !== undefined);
  return find() ?? Infinity;
}

test('an instance that is named as its own seed does not become its peer', async context => {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a'});
  const b = await startInstance({
    lifecycle,
    name: 'b',
    seeds: [a.address, `localhost:${a.port}`],
  });
  const other = await startInstance({lifecycle, name: 'c', seeds: [b.address]});
  await waitFor('three', () =>
    [a, b, other].every(each => namesSeenBy(each) === 'east/a east/b east/c'),
  );
});
