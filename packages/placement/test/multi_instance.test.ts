import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {FailureCode} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {openRunner} from './fixtures/fake_runner.js';
import {codeOf, createTasks} from './fixtures/fleet.js';
import {openRunnerFleet, runAll, startsOf} from './fixtures/runner_fleet.js';

/** Opens a runner in each of two zones; instances 1 and 2 hold them. */
async function openTwoZones(context: TestContext) {
  const runners = [
    await openRunner('r1', 2, 'zone-a'),
    await openRunner('r2', 2, 'zone-b'),
  ];
  const fleet = await openRunnerFleet(context, runners, {
    zones: ['zone-a', 'zone-a', 'zone-b'],
    holderOf: ({zone}) => (zone === 'zone-a' ? 1 : 2),
  });
  return {fleet, runners};
}

test('two owners share the slots that one of them holds without busy answers', async context => {
  const runners = [await openRunner('r1', 2), await openRunner('r2', 2)];
  const fleet = await openRunnerFleet(context, runners, {
    zones: ['zone-a', 'zone-a'],
  });
  await Promise.all([
    runAll(fleet, createTasks(30, {job: 's/a'}), 0),
    runAll(fleet, createTasks(30, {job: 's/b'}), 1),
  ]);
  for (const {maxRunning, rejected} of runners) {
    assert.ok(maxRunning <= 2);
    assert.equal(rejected, 0);
  }
});

test('runs each task once when two instances believe they hold the same server', async context => {
  const runners = [await openRunner('r1', 2)];
  const fleet = await openRunnerFleet(context, runners, {
    zones: ['zone-a', 'zone-a'],
    holderOf: (_server, seenBy) => seenBy,
  });
  const first = createTasks(20, {job: 's/a'});
  const second = createTasks(20, {job: 's/b'});
  await Promise.all([runAll(fleet, first, 0), runAll(fleet, second, 1)]);
  for (const {id} of [...first, ...second]) {
    assert.equal(codeOf(fleet.ends.get(id)?.[0]), 'done');
    assert.equal(startsOf(fleet, id), 1);
  }
});

test('an owner disconnected from its zone is served by another zone', async context => {
  const {fleet, runners} = await openTwoZones(context);
  fleet.disconnected.add(1);
  const tasks = createTasks(6);
  await runAll(fleet, tasks);
  assert.equal(runners[1]?.started.length, tasks.length);
});

test('moves tasks away from a holder that freezes', async context => {
  const {fleet} = await openTwoZones(context);
  await runAll(fleet, createTasks(6, {job: 's/a'}));
  fleet.frozen.add(1);
  await runAll(fleet, createTasks(6, {job: 's/b'}));
});

test('draining refuses new tasks and resolves after the last task ends', async context => {
  const runners = [await openRunner('r1', 2)];
  const fleet = await openRunnerFleet(context, runners);
  const [placement] = fleet.placements;
  assert.ok(placement);
  placement.enqueue(createTasks(10, {job: 's/a'}), readClock());
  const drained = placement.drain();
  const refused = placement.enqueue(createTasks(1), readClock());
  assert.ok(refused.isErr());
  assert.equal(refused.error.code, FailureCode.Leaving);
  await drained;
  assert.equal(fleet.ends.size, 10);
});
