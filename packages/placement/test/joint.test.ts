import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {openRunner} from './fixtures/fake_runner.js';
import {codeOf, createTasks} from './fixtures/fleet.js';
import {openScene, runAll, startsOf} from './fixtures/scene.js';

test('two owners share the slots that one of them holds, without a busy answer', async context => {
  const runners = [await openRunner('r1', 2), await openRunner('r2', 2)];
  const scene = await openScene(context, runners, {
    zones: ['zone-a', 'zone-a'],
  });
  await Promise.all([
    runAll(scene, createTasks(30, {job: 's/a'}), 0),
    runAll(scene, createTasks(30, {job: 's/b'}), 1),
  ]);
  for (const {most, turnedDown} of runners) {
    assert.ok(most <= 2);
    assert.equal(turnedDown, 0);
  }
});

test('two instances that both believe they hold a server do no harm', async context => {
  const runners = [await openRunner('r1', 2)];
  const scene = await openScene(context, runners, {
    zones: ['zone-a', 'zone-a'],
    holderOf: (_server, seenBy) => seenBy,
  });
  const first = createTasks(20, {job: 's/a'});
  const second = createTasks(20, {job: 's/b'});
  await Promise.all([runAll(scene, first, 0), runAll(scene, second, 1)]);
  for (const {id} of [...first, ...second]) {
    assert.equal(codeOf(scene.ends.get(id)?.[0]), 'done');
    assert.equal(startsOf(scene, id), 1);
  }
});

test('an owner that is cut off from its own zone is served by another', async context => {
  const runners = [
    await openRunner('r1', 2, 'zone-a'),
    await openRunner('r2', 2, 'zone-b'),
  ];
  const scene = await openScene(context, runners, {
    zones: ['zone-a', 'zone-a', 'zone-b'],
    holderOf: ({zone}) => (zone === 'zone-a' ? 1 : 2),
  });
  scene.cut.add(1);
  const tasks = createTasks(6);
  await runAll(scene, tasks);
  assert.equal(runners[1]?.started.length, tasks.length);
});

test('tasks are not left to a holder that freezes', async context => {
  const runners = [
    await openRunner('r1', 2, 'zone-a'),
    await openRunner('r2', 2, 'zone-b'),
  ];
  const scene = await openScene(context, runners, {
    zones: ['zone-a', 'zone-a', 'zone-b'],
    holderOf: ({zone}) => (zone === 'zone-a' ? 1 : 2),
  });
  await runAll(scene, createTasks(6, {job: 's/a'}));
  scene.frozen.add(1);
  await runAll(scene, createTasks(6, {job: 's/b'}));
});

test('draining refuses new tasks and ends when the last one has', async context => {
  const runners = [await openRunner('r1', 2)];
  const scene = await openScene(context, runners);
  const [placement] = scene.placements;
  assert.ok(placement);
  placement.enqueue(createTasks(10, {job: 's/a'}), readClock());
  const drained = placement.drain();
  const refused = placement.enqueue(createTasks(1), readClock());
  assert.ok(refused.isErr());
  assert.equal(refused.error.code, FailureCode.Leaving);
  await drained;
  assert.equal(scene.ends.size, 10);
});
