import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServerState} from '@goldcrestpier/platform';
import {FailureCode, OutcomeKind, Ran} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {PolicyKind, defaultSettings} from '@goldcrestpier/settings';
import {Behaviour, openRunner} from './fixtures/fake_runner.js';
import {codeOf, createTasks, waitUntil} from './fixtures/fleet.js';
import {openScene, runAll, startsOf} from './fixtures/scene.js';

for (const policy of Object.values(PolicyKind)) {
  test(`under ${policy} each task starts once and has its own result`, async context => {
    const runners = [await openRunner('r1', 2), await openRunner('r2', 3)];
    const placement = {...defaultSettings.placement, policy};
    const scene = await openScene(context, runners, {settings: {placement}});
    const tasks = createTasks(40);
    await runAll(scene, tasks);
    for (const {id} of tasks) {
      const [end] = scene.ends.get(id) ?? [];
      assert.equal(end?.kind, OutcomeKind.Done);
      assert.equal(end.result, id);
      assert.equal(startsOf(scene, id), 1);
    }
  });
}

test('a lost answer fails visibly and the task is not started again', async context => {
  const runners = [await openRunner('r1', 2), await openRunner('r2', 2)];
  const scene = await openScene(context, runners);
  for (const runner of runners) runner.behaviour = Behaviour.Reset;
  const [task] = createTasks(1);
  assert.ok(task);
  await runAll(scene, [task]);
  const [end] = scene.ends.get(task.id) ?? [];
  assert.ok(end?.kind === OutcomeKind.Failed);
  assert.equal(end.failure.code, FailureCode.OutcomeUnknown);
  assert.equal(end.failure.ran, Ran.MayHaveRun);
  assert.equal(startsOf(scene, task.id), 1);
});

test('a repeatable task is started again, and not without end', async context => {
  const runners = [await openRunner('r1', 2)];
  const scene = await openScene(context, runners);
  runners[0]!.behaviour = Behaviour.Reset;
  const [task] = createTasks(1, {repeatable: true});
  assert.ok(task);
  await runAll(scene, [task]);
  const {maxStarts} = defaultSettings.retry;
  assert.equal(startsOf(scene, task.id), maxStarts);
  assert.equal(codeOf(scene.ends.get(task.id)?.[0]), 'outcome_unknown');
});

test('retries stay within their budget', async context => {
  const runners = [await openRunner('r1', 4)];
  const ejection = {...defaultSettings.ejection, failures: 1_000};
  const scene = await openScene(context, runners, {settings: {ejection}});
  runners[0]!.behaviour = Behaviour.Reset;
  const tasks = createTasks(60, {repeatable: true});
  await runAll(scene, tasks);
  const retries = (runners[0]?.started.length ?? 0) - tasks.length;
  // A reserve of ten, and a tenth of the first starts.
  assert.ok(retries <= 16, `${retries} retries`);
  const codes = tasks.map(({id}) => codeOf(scene.ends.get(id)?.[0]));
  assert.ok(codes.includes(FailureCode.RetryBudgetSpent));
});

test('a task that is turned down as busy waits and then runs once', async context => {
  const runners = [await openRunner('r1', 2)];
  const scene = await openScene(context, runners);
  runners[0]!.behaviour = Behaviour.Busy;
  const [task] = createTasks(1);
  assert.ok(task);
  const ended = runAll(scene, [task]);
  await waitUntil(() => (runners[0]?.turnedDown ?? 0) >= 2, 'two busy answers');
  runners[0]!.behaviour = Behaviour.Run;
  await ended;
  assert.equal(codeOf(scene.ends.get(task.id)?.[0]), 'done');
  assert.equal(startsOf(scene, task.id), 1);
});

test('a server that cannot be reached is passed over', async context => {
  const runners = [await openRunner('r1', 4), await openRunner('r2', 1)];
  const scene = await openScene(context, runners);
  await runners[0]?.close();
  const tasks = createTasks(10);
  await runAll(scene, tasks);
  for (const {id} of tasks) {
    assert.equal(codeOf(scene.ends.get(id)?.[0]), 'done');
  }
});

test('a server that says it is leaving gets nothing new, though the list lags', async context => {
  const runners = [await openRunner('r1', 4), await openRunner('r2', 1)];
  const scene = await openScene(context, runners);
  runners[0]!.behaviour = Behaviour.Leaving;
  await runAll(scene, createTasks(20, {job: 's/a'}));
  const turnedDown = runners[0]?.turnedDown ?? 0;
  assert.ok(turnedDown <= 4, `${turnedDown} starts`);
  await runAll(scene, createTasks(20, {job: 's/b'}));
  assert.equal(runners[0]?.turnedDown, turnedDown);
});

test('a server that the list calls leaving gets nothing new', async context => {
  const runners = [await openRunner('r1', 4), await openRunner('r2', 1)];
  const scene = await openScene(context, runners);
  const [leaving] = runners;
  assert.ok(leaving);
  leaving.server = {...leaving.server, state: ServerState.Leaving};
  for (const placement of scene.placements) placement.refresh(readClock());
  await runAll(scene, createTasks(10));
  assert.equal(leaving.started.length, 0);
});

test('a frozen server costs a task its deadline, and the task may have run', async context => {
  const runners = [await openRunner('r1', 2)];
  const scene = await openScene(context, runners);
  runners[0]!.behaviour = Behaviour.Freeze;
  const tasks = createTasks(3, {deadlineAt: readClock() + 300});
  await runAll(scene, tasks);
  const ran = tasks.map(({id}) => {
    const [end] = scene.ends.get(id) ?? [];
    assert.equal(codeOf(end), FailureCode.DeadlinePassed);
    return end?.kind === OutcomeKind.Failed ? end.failure.ran : undefined;
  });
  // Two had the slots; the third was never started.
  assert.deepEqual(ran, [Ran.MayHaveRun, Ran.MayHaveRun, Ran.NotRun]);
  await waitUntil(() => runners[0]?.running === 0, 'the stop');
});

test('cancelling ends waiting tasks as not run and stops those that started', async context => {
  const runners = [await openRunner('r1', 1)];
  const scene = await openScene(context, runners);
  runners[0]!.behaviour = Behaviour.Freeze;
  const tasks = createTasks(3);
  scene.placements[0]?.enqueue(tasks, readClock());
  await waitUntil(() => runners[0]?.running === 1, 'the start');
  scene.placements[0]?.cancel(
    tasks.map(({id}) => id),
    readClock(),
  );
  const ran = tasks.map(({id}) => {
    const [end] = scene.ends.get(id) ?? [];
    assert.equal(codeOf(end), FailureCode.Cancelled);
    return end?.kind === OutcomeKind.Failed ? end.failure.ran : undefined;
  });
  assert.deepEqual(ran, [Ran.MayHaveRun, Ran.NotRun, Ran.NotRun]);
  await waitUntil(() => runners[0]?.running === 0, 'the stop');
  assert.equal(runners[0]?.started.length, 1);
});

test('a server that fails everything is ejected', async context => {
  const ejected: string[] = [];
  const runners = [await openRunner('r1', 4), await openRunner('r2', 2)];
  const scene = await openScene(context, runners, {
    counters: {ejected: reason => ejected.push(reason)},
  });
  await runAll(scene, createTasks(30, {job: 's/a'}));
  runners[0]!.behaviour = Behaviour.Fail;
  const tasks = createTasks(60, {job: 's/b'});
  await runAll(scene, tasks);
  const failed = tasks.filter(
    ({id}) => codeOf(scene.ends.get(id)?.[0]) === FailureCode.BackendFailed,
  );
  // Five failures in a row, and what was under way meanwhile.
  assert.ok(failed.length >= 5 && failed.length <= 9, `${failed.length}`);
  assert.deepEqual(ejected, ['failed']);
});

test('a straggler that is repeatable is hedged', async context => {
  const retried: string[] = [];
  const runners = [await openRunner('r1', 2), await openRunner('r2', 2)];
  const scene = await openScene(context, runners, {
    settings: {
      hedge: {enabled: true, percentile: 0.9, budgetShare: 0.1},
    },
    counters: {retried: reason => retried.push(reason)},
  });
  await runAll(scene, createTasks(100, {job: 's/a'}));
  const [task] = createTasks(1, {job: 's/b', repeatable: true});
  assert.ok(task);
  for (const runner of runners) runner.behaviour = Behaviour.Freeze;
  scene.placements[0]?.enqueue([task], readClock());
  await waitUntil(() => startsOf(scene, task.id) === 1, 'the start');
  for (const runner of runners) runner.behaviour = Behaviour.Run;
  await waitUntil(() => scene.ends.has(task.id), 'the end');
  assert.equal(codeOf(scene.ends.get(task.id)?.[0]), 'done');
  assert.ok(retried.includes('hedge'));
});
