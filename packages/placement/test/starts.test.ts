import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServerState} from '@goldcrestpier/platform';
import {FailureCode, OutcomeKind, RunStatus} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {PolicyKind, defaultSettings} from '@goldcrestpier/settings';
import {Behaviour, openRunner} from './fixtures/fake_runner.js';
import {codeOf, createTasks, waitUntil} from './fixtures/fleet.js';
import {openRunnerFleet, runAll, startsOf} from './fixtures/runner_fleet.js';

for (const policy of Object.values(PolicyKind)) {
  test(`under ${policy} each task starts once and gets its own result`, async context => {
    const runners = [await openRunner('r1', 2), await openRunner('r2', 3)];
    const placement = {...defaultSettings.placement, policy};
    const fleet = await openRunnerFleet(context, runners, {
      settings: {placement},
    });
    const tasks = createTasks(40);
    await runAll(fleet, tasks);
    for (const {id} of tasks) {
      const [end] = fleet.ends.get(id) ?? [];
      assert.equal(end?.kind, OutcomeKind.Done);
      assert.equal(end.result, id);
      assert.equal(startsOf(fleet, id), 1);
    }
  });
}

test('a lost answer fails the task, which is not started again', async context => {
  const runners = [await openRunner('r1', 2), await openRunner('r2', 2)];
  const fleet = await openRunnerFleet(context, runners);
  for (const runner of runners) runner.behaviour = Behaviour.Reset;
  const [task] = createTasks(1);
  assert.ok(task);
  await runAll(fleet, [task]);
  const [end] = fleet.ends.get(task.id) ?? [];
  assert.ok(end?.kind === OutcomeKind.Failed);
  assert.equal(end.failure.code, FailureCode.OutcomeUnknown);
  assert.equal(end.failure.ran, RunStatus.MayHaveRun);
  assert.equal(startsOf(fleet, task.id), 1);
});

test('a repeatable task is started again up to the maximum number of starts', async context => {
  const runners = [await openRunner('r1', 2)];
  const fleet = await openRunnerFleet(context, runners);
  runners[0]!.behaviour = Behaviour.Reset;
  const [task] = createTasks(1, {repeatable: true});
  assert.ok(task);
  await runAll(fleet, [task]);
  const {maxStarts} = defaultSettings.retry;
  assert.equal(startsOf(fleet, task.id), maxStarts);
  assert.equal(codeOf(fleet.ends.get(task.id)?.[0]), 'outcome_unknown');
});

test('retries stay within the retry budget', async context => {
  const runners = [await openRunner('r1', 4)];
  const ejection = {...defaultSettings.ejection, failures: 1_000};
  const fleet = await openRunnerFleet(context, runners, {settings: {ejection}});
  runners[0]!.behaviour = Behaviour.Reset;
  const tasks = createTasks(60, {repeatable: true});
  await runAll(fleet, tasks);
  const retries = (runners[0]?.started.length ?? 0) - tasks.length;
  // A reserve of ten plus a tenth of the first starts.
  assert.ok(retries <= 16, `${retries} retries`);
  const codes = tasks.map(({id}) => codeOf(fleet.ends.get(id)?.[0]));
  assert.ok(codes.includes(FailureCode.RetryBudgetSpent));
});

test('a task rejected as busy waits and then runs once', async context => {
  const runners = [await openRunner('r1', 2)];
  const fleet = await openRunnerFleet(context, runners);
  runners[0]!.behaviour = Behaviour.Busy;
  const [task] = createTasks(1);
  assert.ok(task);
  const ended = runAll(fleet, [task]);
  await waitUntil(() => (runners[0]?.rejected ?? 0) >= 2, 'two busy answers');
  runners[0]!.behaviour = Behaviour.Run;
  await ended;
  assert.equal(codeOf(fleet.ends.get(task.id)?.[0]), 'done');
  assert.equal(startsOf(fleet, task.id), 1);
});

test('tasks complete when one server is unreachable', async context => {
  const runners = [await openRunner('r1', 4), await openRunner('r2', 1)];
  const fleet = await openRunnerFleet(context, runners);
  await runners[0]?.close();
  const tasks = createTasks(10);
  await runAll(fleet, tasks);
  for (const {id} of tasks) {
    assert.equal(codeOf(fleet.ends.get(id)?.[0]), 'done');
  }
});

test('a server that answers "leaving" gets no new tasks while the list lags', async context => {
  const runners = [await openRunner('r1', 4), await openRunner('r2', 1)];
  const fleet = await openRunnerFleet(context, runners);
  runners[0]!.behaviour = Behaviour.Leaving;
  await runAll(fleet, createTasks(20, {job: 's/a'}));
  const rejected = runners[0]?.rejected ?? 0;
  assert.ok(rejected <= 4, `${rejected} starts`);
  await runAll(fleet, createTasks(20, {job: 's/b'}));
  assert.equal(runners[0]?.rejected, rejected);
});

test('a server listed as leaving gets no new tasks', async context => {
  const runners = [await openRunner('r1', 4), await openRunner('r2', 1)];
  const fleet = await openRunnerFleet(context, runners);
  const [leaving] = runners;
  assert.ok(leaving);
  leaving.server = {...leaving.server, state: ServerState.Leaving};
  for (const placement of fleet.placements) placement.refresh(readClock());
  await runAll(fleet, createTasks(10));
  assert.equal(leaving.started.length, 0);
});

test('a task on a frozen server fails at its deadline and may have run', async context => {
  const runners = [await openRunner('r1', 2)];
  const fleet = await openRunnerFleet(context, runners);
  runners[0]!.behaviour = Behaviour.Freeze;
  const tasks = createTasks(3, {deadlineAt: readClock() + 300});
  await runAll(fleet, tasks);
  const ran = tasks.map(({id}) => {
    const [end] = fleet.ends.get(id) ?? [];
    assert.equal(codeOf(end), FailureCode.DeadlinePassed);
    return end?.kind === OutcomeKind.Failed ? end.failure.ran : undefined;
  });
  // Two tasks had the slots; the third was never started.
  assert.deepEqual(ran, [
    RunStatus.MayHaveRun,
    RunStatus.MayHaveRun,
    RunStatus.NotRun,
  ]);
  await waitUntil(() => runners[0]?.running === 0, 'the stop');
});

test('cancelling ends waiting tasks as not run and stops started ones', async context => {
  const runners = [await openRunner('r1', 1)];
  const fleet = await openRunnerFleet(context, runners);
  runners[0]!.behaviour = Behaviour.Freeze;
  const tasks = createTasks(3);
  fleet.placements[0]?.enqueue(tasks, readClock());
  await waitUntil(() => runners[0]?.running === 1, 'the start');
  fleet.placements[0]?.cancel(
    tasks.map(({id}) => id),
    readClock(),
  );
  const ran = tasks.map(({id}) => {
    const [end] = fleet.ends.get(id) ?? [];
    assert.equal(codeOf(end), FailureCode.Cancelled);
    return end?.kind === OutcomeKind.Failed ? end.failure.ran : undefined;
  });
  assert.deepEqual(ran, [
    RunStatus.MayHaveRun,
    RunStatus.NotRun,
    RunStatus.NotRun,
  ]);
  await waitUntil(() => runners[0]?.running === 0, 'the stop');
  assert.equal(runners[0]?.started.length, 1);
});

test('ejects a server that fails every task', async context => {
  const ejected: string[] = [];
  const runners = [await openRunner('r1', 4), await openRunner('r2', 2)];
  const fleet = await openRunnerFleet(context, runners, {
    counters: {ejected: reason => ejected.push(reason)},
  });
  await runAll(fleet, createTasks(30, {job: 's/a'}));
  runners[0]!.behaviour = Behaviour.Fail;
  const tasks = createTasks(60, {job: 's/b'});
  await runAll(fleet, tasks);
  const failed = tasks.filter(
    ({id}) => codeOf(fleet.ends.get(id)?.[0]) === FailureCode.BackendFailed,
  );
  // Five consecutive failures, plus the tasks in flight meanwhile.
  assert.ok(failed.length >= 5 && failed.length <= 9, `${failed.length}`);
  assert.deepEqual(ejected, ['failed']);
});

test('hedges a repeatable task that runs too long', async context => {
  const retried: string[] = [];
  const runners = [await openRunner('r1', 2), await openRunner('r2', 2)];
  const fleet = await openRunnerFleet(context, runners, {
    settings: {
      hedge: {enabled: true, percentile: 0.9, budgetShare: 0.1},
    },
    counters: {retried: reason => retried.push(reason)},
  });
  await runAll(fleet, createTasks(100, {job: 's/a'}));
  const [task] = createTasks(1, {job: 's/b', repeatable: true});
  assert.ok(task);
  for (const runner of runners) runner.behaviour = Behaviour.Freeze;
  fleet.placements[0]?.enqueue([task], readClock());
  await waitUntil(() => startsOf(fleet, task.id) === 1, 'the start');
  for (const runner of runners) runner.behaviour = Behaviour.Run;
  await waitUntil(() => fleet.ends.has(task.id), 'the end');
  assert.equal(codeOf(fleet.ends.get(task.id)?.[0]), 'done');
  assert.ok(retried.includes('hedge'));
});
