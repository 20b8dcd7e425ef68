import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RunPhase,
  StartAnswer,
  WorkerRequestFailure,
  type Dispatcher,
  type Job,
  type StartCommand,
  type Step,
} from '../src/index.js';
import {
  createDelegatedTask,
  createDispatcher,
  createJob,
  createReport,
  createSmallTasks,
  createWorker,
  formatCommands,
  longDeadline,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** Time after which a refused task is delegated to the same zone again, in ms. */
const REFUSAL_PAUSE_MS = 50;

/** Creates a dispatcher of idle workers whose zone is evacuated. */
function createEvacuated(workerIds: readonly string[] = ['w1']): Dispatcher {
  const dispatcher = createDispatcher(workerIds.map(id => createWorker(id)));
  pollAllWorkers(dispatcher, 0);
  dispatcher.evacuation.update(true);
  return dispatcher;
}

/** Reports free capacity of another zone, on one large worker by default. */
function report(
  dispatcher: Dispatcher,
  zone: string,
  now: number,
  cpuMillis = 200_000,
): void {
  const vacancies = [{slowness: 1, cpuMillis, memoryMb: 100_000}];
  dispatcher.updateZoneVacancies({zone, service: 'pricing', vacancies}, now);
}

function listCommands(dispatcher: Dispatcher, now: number): string[] {
  return formatCommands(dispatcher.tick(now));
}

/** Starts the due tasks, which their workers confirm. */
function startDue(dispatcher: Dispatcher, now: number): StartCommand[] {
  const starts = dispatcher
    .tick(now)
    .filter((command): command is StartCommand => command.kind === 'start');
  for (const {run} of starts)
    dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
  return starts;
}

/** Creates a job whose only step has these constraints. */
function createConstrained(
  tasks: number,
  constraints: Partial<Step>,
  changes: Partial<Job> = longDeadline,
): Job {
  const job = createJob('a', tasks, changes);
  return {...job, steps: job.steps.map(step => ({...step, ...constraints}))};
}

// Guards against starts by the placement of waiting tasks.
test('EVAC: a job of an evacuated zone runs in another one, and nothing starts on idle workers', () => {
  const dispatcher = createEvacuated(['w1', 'w2']);
  report(dispatcher, 'east', 0);
  dispatcher.submit(createJob('a', 2), false, 0);
  assert.deepEqual(listCommands(dispatcher, 0), [
    'delegate a.0.0.0/1 to east',
    'delegate a.0.0.1/1 to east',
  ]);
});

// Guards against jobs that wait for capacity that does not come.
test('EVAC: a new job is refused at once when no zone has capacity, though workers are idle', () => {
  const dispatcher = createEvacuated();
  dispatcher.submit(createJob('a', 1), false, 0);
  assert.deepEqual(listCommands(dispatcher, 0), []);
  assert.equal(dispatcher.takeEndedJobs()[0]?.outcome.kind, 'refused');
});

// Guards against starts for other zones, and against their useless requests.
test('EVAC: a delegated task is refused, and no capacity is offered', () => {
  const dispatcher = createEvacuated();
  const task = createDelegatedTask('a', longDeadline, {run: 1});
  assert.deepEqual(formatCommands(dispatcher.acceptDelegated(task, 0)), []);
  assert.equal(dispatcher.takeEndedJobs()[0]?.outcome.kind, 'refused');
  assert.deepEqual(dispatcher.findVacancies('pricing', 0), []);
});

// Guards against a start command that is repeated for as long as it is wanted.
test('EVAC: a start without an answer is not wanted any more', () => {
  const dispatcher = createEvacuated();
  dispatcher.evacuation.update(false);
  dispatcher.submit(createJob('a', 1), false, 0);
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  assert.equal(dispatcher.isStartWanted(start.run, 1), true);
  dispatcher.evacuation.update(true);
  assert.equal(dispatcher.isStartWanted(start.run, 1), false);
});

// Guards against a lost task whose start was queued and not sent.
test('EVAC: a task whose start was not sent is delegated', () => {
  const dispatcher = createEvacuated();
  dispatcher.evacuation.update(false);
  dispatcher.submit(createJob('a', 1), false, 0);
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  dispatcher.evacuation.update(true);
  dispatcher.handleStartAnswer(start.run, StartAnswer.NotSent, 5);
  report(dispatcher, 'east', 5);
  assert.deepEqual(listCommands(dispatcher, 5), ['delegate a.0.0.0/2 to east']);
});

// Guards against stops: the evacuation ends no running task.
test('EVAC: running tasks go on, and their steps after them run elsewhere', () => {
  const dispatcher = createEvacuated();
  dispatcher.evacuation.update(false);
  const [step] = createJob('a', 1).steps;
  assert.ok(step !== undefined);
  const steps = [step, {...step, after: [0]}];
  dispatcher.submit(createJob('a', 1, {...longDeadline, steps}), false, 0);
  const [start] = startDue(dispatcher, 0);
  dispatcher.evacuation.update(true);
  assert.deepEqual(listCommands(dispatcher, 100), []);
  assert.equal(start?.run.phase, RunPhase.Running);
  const done = {sequence: 1, task: 'a.0.0.0', run: 1, end: 'done'} as never;
  dispatcher.handleReport('w1', createReport([], [done]), 200, 201);
  report(dispatcher, 'east', 201);
  assert.deepEqual(listCommands(dispatcher, 201), [
    'delegate a.0.1.0/1 to east',
  ]);
});

/** Reports a run that takes far too long; returns the commands that follow. */
function runLate(isEvacuated: boolean): string[] {
  const dispatcher = createDispatcher([createWorker('w1'), createWorker('w2')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1, {targetMs: 500}), false, 0);
  const [start] = startDue(dispatcher, 0);
  assert.ok(start !== undefined);
  dispatcher.evacuation.update(isEvacuated);
  report(dispatcher, 'east', 200);
  const entry = {task: 'a.0.0.0', run: 1, percent: 10};
  const {workerId} = start.run;
  dispatcher.handleReport(workerId, createReport([entry]), 200, 200);
  return listCommands(dispatcher, 200);
}

// Guards against the restart of a late run on another worker of the zone.
test('EVAC: a late run is neither stopped nor moved to another worker', () => {
  assert.equal(runLate(false).length, 1);
  assert.deepEqual(runLate(true), []);
});

/** Crashes the worker of a task; returns what starts on the other one then. */
function crashUnderTask(isEvacuated: boolean): string[] {
  const dispatcher = createDispatcher([createWorker('w1'), createWorker('w2')]);
  pollAllWorkers(dispatcher, 0);
  const longest = {targetMs: 20_000, deadlineAt: 60_000};
  dispatcher.submit(createJob('a', 1, longest), false, 0);
  const [start] = startDue(dispatcher, 0);
  assert.ok(start !== undefined);
  const {workerId} = start.run;
  dispatcher.recordLease(workerId, 0);
  const failure = WorkerRequestFailure.NotListening;
  dispatcher.handlePollFailure(workerId, failure, 1);
  dispatcher.evacuation.update(isEvacuated);
  return listCommands(dispatcher, 1_200);
}

// Guards against starts of tasks that run alone, which are placed separately.
test('EVAC: a task whose worker crashed is not started alone on another one', () => {
  assert.equal(crashUnderTask(false).length, 1);
  assert.deepEqual(crashUnderTask(true), []);
});

// Guards against starts of a new holder that has not polled its workers.
test('EVAC: a holder that takes over delegates, though its list of workers is not confirmed', () => {
  const dispatcher = createDispatcher([]);
  dispatcher.evacuation.update(true);
  report(dispatcher, 'east', 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  assert.deepEqual(listCommands(dispatcher, 0), ['delegate a.0.0.0/1 to east']);
});

// Guards against jobs that only workers of the evacuated zone were to run.
test('EVAC: tasks with a label, a rack or accelerators are delegated', () => {
  const constraints: ReadonlyArray<Partial<Step>> = [
    {requiredLabel: 'quick'},
    {dataRack: 'r1'},
    {need: {cpuMillis: 1_000, memoryMb: 64, accelerators: 1}},
  ];
  for (const each of constraints) {
    const dispatcher = createEvacuated();
    report(dispatcher, 'east', 0);
    dispatcher.submit(createConstrained(1, each), false, 0);
    assert.equal(dispatcher.tick(0).length, 1, JSON.stringify(each));
  }
});

// Guards against tasks of a step that share a worker of the other zone.
test('EVAC: a zone gets no more tasks of a step at a time than a worker may run', () => {
  const dispatcher = createEvacuated();
  for (const zone of ['east', 'north']) report(dispatcher, zone, 0);
  dispatcher.submit(createConstrained(5, {maxPerWorker: 2}), false, 0);
  const commands = dispatcher.tick(0);
  const zones = commands.map(
    command => command.kind === 'lend' && command.zone,
  );
  assert.deepEqual(zones.sort(), ['east', 'east', 'north', 'north']);
  const [ended] = commands;
  assert.ok(ended?.kind === 'lend');
  dispatcher.handleDelegatedEnd(ended.run, 'done' as never, 200);
  report(dispatcher, ended.zone, 200);
  assert.deepEqual(listCommands(dispatcher, 200), [
    `delegate a.0.0.4/1 to ${ended.zone}`,
  ]);
});

// Guards against a refused task that is lost, or sent again without a pause.
test('EVAC: a refused task goes to another zone at once, and to the same one after a pause', () => {
  const dispatcher = createEvacuated();
  report(dispatcher, 'east', 0);
  dispatcher.submit(createJob('a', 1, longDeadline), false, 0);
  const [first] = dispatcher.tick(0);
  assert.ok(first?.kind === 'lend');
  dispatcher.handleDelegatedEnd(first.run, 'refused', 5);
  report(dispatcher, 'east', 5);
  assert.deepEqual(listCommands(dispatcher, 5), []);
  report(dispatcher, 'north', 10);
  const [second] = dispatcher.tick(10);
  assert.ok(second?.kind === 'lend');
  assert.equal(second.zone, 'north');
  dispatcher.handleDelegatedEnd(second.run, 'refused', 15);
  report(dispatcher, 'east', 5 + REFUSAL_PAUSE_MS);
  assert.deepEqual(listCommands(dispatcher, 5 + REFUSAL_PAUSE_MS), [
    'delegate a.0.0.0/3 to east',
  ]);
});

// Guards against a limit that less than the load of one zone reaches.
test('EVAC: 1,600 tasks run in other zones at a time', () => {
  const dispatcher = createEvacuated();
  let delegated = 0;
  for (let job = 0; job < 400; job += 1) {
    report(dispatcher, 'east', job);
    dispatcher.submit(createSmallTasks(`j${job}`, 4, longDeadline), false, job);
    delegated += dispatcher.tick(job).length;
  }
  assert.equal(delegated, 1_600);
});

// Guards against a zone that stays empty after its evacuation.
test('EVAC: tasks start on the workers again once the evacuation has ended', () => {
  const dispatcher = createEvacuated();
  dispatcher.evacuation.update(false);
  dispatcher.submit(createJob('a', 1), false, 0);
  assert.deepEqual(listCommands(dispatcher, 0), ['start a.0.0.0/1 on w1']);
});
