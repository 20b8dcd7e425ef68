import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Command} from '@goldcrestpier/dispatch';
import {DelegatedTasks} from '../src/holder/delegated_tasks.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {PendingAnswers} from '../src/holder/pending_answers.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
} from './fixtures/dispatcher.js';

const START = 1_000;
const TASK = 'a.0.0.0';
const HOME_ZONE = 'west';
const TOKEN = 5;

/** The delegated tasks of a dispatcher with one worker. */
class DelegationFixture {
  readonly commands: Command[] = [];
  private readonly dispatcher = createDispatcher(START);
  private readonly tasks = new DelegatedTasks({
    dispatcher: this.dispatcher,
    pendingAnswers: new PendingAnswers(),
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    onCommands: added => this.commands.push(...added),
    onChange: () => undefined,
  });

  /** Delegates a run of the task. */
  delegate(run: number, now: number): void {
    const job = toSubmission(createJob('a', 1, now), HOME_ZONE, false, now);
    const place = {homeZone: HOME_ZONE, token: TOKEN, step: 0, index: 0};
    void this.tasks.accept({...place, job, run, isJoin: false}, now);
  }

  /** Recalls a run of the task. */
  recall(run: number, now: number): void {
    const recall = {homeZone: HOME_ZONE, token: TOKEN, task: TASK, run};
    this.tasks.recall(recall, now);
  }

  /** Runs the dispatcher; returns the kinds of all commands so far. */
  tick(now: number): string[] {
    this.commands.push(...this.dispatcher.tick(now));
    return this.commands.map(({kind}) => kind);
  }
}

test('the recall of a run that arrives late does not stop a later run of its task', () => {
  const fixture = new DelegationFixture();
  fixture.delegate(4, START);
  fixture.recall(3, START + 1);
  assert.deepEqual(fixture.tick(START + 2), ['start']);
});

test('a recalled run does not start after the recall of an earlier one arrives late', () => {
  const fixture = new DelegationFixture();
  fixture.recall(3, START);
  fixture.recall(2, START + 1);
  fixture.delegate(3, START + 2);
  assert.deepEqual(fixture.tick(START + 3), []);
});
