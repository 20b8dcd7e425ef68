import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  TaskHistory,
  type Dispatcher,
  type RunningEntry,
} from '@goldcrestpier/dispatch';
import type {LogFields, Logger} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {DelegatedTasks} from '../src/holder/delegated_tasks.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {logPlacements} from '../src/holder/observer.js';
import {PendingAnswers} from '../src/holder/pending_answers.js';
import {TaskDelegator} from '../src/holder/task_delegator.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {TaskDelegation, ZoneClient} from '../src/protocol/index.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';

interface Line {
  readonly message: string;
  readonly fields: LogFields;
}

/** Creates a logger that adds the lines of the usual level to `lines`. */
function createLogger(lines: Line[]): Logger {
  const info = (message: string, fields: LogFields = {}) => {
    lines.push({message, fields});
  };
  return {...noopLogger, info};
}

/** Places a new job and returns the fields of the line that says so. */
function placeNewJob(dispatcher: Dispatcher, heldMs: number): LogFields {
  const lines: Line[] = [];
  dispatcher.submit(createJob('a', 1, 0), false, 0);
  const commands = dispatcher.tick(0);
  const context = {listAgeMs: 5, heldMs};
  logPlacements(commands, dispatcher, context, createLogger(lines));
  const [line] = lines;
  assert.equal(line?.message, 'tasks placed');
  return line.fields;
}

test('a new holder that places a new job names the zones that have yet to list their tasks', () => {
  const dispatcher = createDispatcher(0);
  dispatcher.delegationSurvey.expect(['east', 'west', 'south'], -400);
  dispatcher.handleDelegationReport('west', {isComplete: true, tasks: []}, 0);
  dispatcher.handleDelegationReport('south', {isComplete: false, tasks: []}, 0);
  const fields = placeNewJob(dispatcher, 120);
  assert.equal(fields['zonesPending'], 'east south');
  assert.equal(fields['heldMs'], 120);
});

test('a holder to which all zones have listed their tasks names none', () => {
  const dispatcher = createDispatcher(0);
  dispatcher.delegationSurvey.expect(['east'], -400);
  dispatcher.handleDelegationReport('east', {isComplete: true, tasks: []}, 0);
  assert.equal('zonesPending' in placeNewJob(dispatcher, 120), false);
});

test('a holder names no zone once the tasks of its predecessor have ended', () => {
  const dispatcher = createDispatcher(0);
  dispatcher.delegationSurvey.expect(['east'], -400);
  assert.equal('zonesPending' in placeNewJob(dispatcher, 2_000), false);
});

const join: TaskDelegation = {
  homeZone: 'east',
  token: 7,
  job: toSubmission(createJob('a', 1, 0), 'east', false, 0),
  step: 0,
  index: 0,
  run: 3,
  isJoin: true,
};

interface Joined {
  readonly lines: readonly Line[];
  readonly metrics: string;
}

/** Joins a run of task `a.0.0.0` while the only worker has these runs. */
async function joinRun(
  running: readonly RunningEntry[],
  message = join,
): Promise<Joined> {
  const dispatcher = createDispatcher(0);
  const report = {clockMs: 5, bornAt: 1, running: [...running], ended: []};
  dispatcher.handleReport(worker.id, report, 1, 1);
  const lines: Line[] = [];
  const metrics = new ZoneMetrics();
  const tasks = new DelegatedTasks({
    dispatcher,
    pendingAnswers: new PendingAnswers(),
    logger: createLogger(lines),
    metrics,
    onCommands: () => undefined,
    onChange: () => undefined,
  });
  void tasks.accept(message, 2);
  return {lines, metrics: await metrics.format()};
}

test('a join that finds no run is logged and counted', async () => {
  const {lines, metrics} = await joinRun([]);
  assert.deepEqual(lines, [
    {
      message: 'delegated run not found',
      fields: {
        job: 'a',
        task: 'a.0.0.0@east',
        zone: 'east',
        run: 3,
        isCertain: false,
      },
    },
  ]);
  assert.match(metrics, /^goldcrestpier_joins_not_found_total 1$/m);
});

test('a join that finds the run on a worker is not counted as one that found none', async () => {
  const entry = {task: 'a.0.0.0', run: 3, percent: 40};
  const {lines, metrics} = await joinRun([entry]);
  assert.deepEqual(lines, []);
  assert.match(metrics, /^goldcrestpier_joins_not_found_total 0$/m);
});

test('each recall that no holder accepts is counted with its reason', async () => {
  const metrics = new ZoneMetrics();
  const answers = [undefined, Ok(false), Ok(true)];
  const delegator = new TaskDelegator({
    isActive: () => true,
    zone: 'west',
    token: 7,
    dispatcher: createDispatcher(0),
    history: new TaskHistory(),
    findZoneClient: () => {
      const answer = answers.shift();
      if (answer === undefined) return undefined;
      const client: Pick<ZoneClient, 'recall'> = {
        recall: () => Promise.resolve(answer),
      };
      return client as ZoneClient;
    },
    logger: noopLogger,
    metrics,
    onChange: () => undefined,
  });
  const recall = {kind: 'recall', zone: 'east', key: 'a.0.0.0'} as const;
  const command = {...recall, runNumber: 1};
  for (let count = 0; count < 3; count += 1)
    await delegator.recall({...command, run: undefined});
  const lines = (await metrics.format())
    .split('\n')
    .filter(line => line.startsWith('goldcrestpier_recalls_failed_total'));
  assert.deepEqual(lines, [
    'goldcrestpier_recalls_failed_total{reason="unreachable"} 1',
    'goldcrestpier_recalls_failed_total{reason="not_holder"} 1',
  ]);
});
