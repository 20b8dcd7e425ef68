import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createFailure,
  FailureCode,
  failureCatalogue,
  RunStatus,
} from '@goldcrestpier/protocol';
import fc from 'fast-check';
import {createClient} from '../src/index.js';
import {
  chooseNextStep,
  NextStep,
  Patience,
  RetryBudget,
} from '../src/retry/index.js';
import {FakeEntry, failWith, type Fault} from './fake_entry.js';

const SEED = 20_261_203;
const faults = fc.constantFrom<Fault>(
  {kind: 'none'},
  {kind: 'lost-before'},
  {kind: 'lost-after'},
  {kind: 'garbled'},
  {kind: 'running'},
  failWith(
    createFailure(
      FailureCode.OwnerUnreachable,
      {owner: 'a.b.c'},
      {retryAfterMs: 1},
    ),
  ),
);
const refusals = fc.constantFrom<Fault>(
  ...[
    createFailure(
      FailureCode.QueueFull,
      {waiting: 1, limit: 1},
      {retryAfterMs: 1},
    ),
    createFailure(FailureCode.Leaving, {instance: 'e1'}, {retryAfterMs: 1}),
    createFailure(FailureCode.ImpossibleNeeds, {needs: '900 cores'}),
  ].map(failWith),
);

test('only a true "not run" is ever sent under another identity', () => {
  for (const code of Object.values(FailureCode)) {
    const {ran, final} = failureCatalogue[code];
    const failure = {code, title: '', message: '', hint: '', ran, final};
    const step = chooseNextStep(failure);
    if (step === NextStep.HigherAttempt) assert.ok(!final, code);
    if (step !== NextStep.Report && step !== NextStep.SameAttempt) {
      assert.equal(ran, RunStatus.NotRun, code);
    }
  }
});

test('whatever meets its copies, a job starts once at most and is told truly', async () => {
  const entry = new FakeEntry();
  const origin = await entry.listen();
  const client = createClient({origin, maxTries: 5, retryReserve: 10_000});
  let number = 0;
  // An owner refuses only what it has not taken, so refusals come first.
  const script = fc.tuple(
    fc.array(refusals, {maxLength: 3}),
    fc.array(faults, {maxLength: 5}),
  );
  await fc.assert(
    fc.asyncProperty(script, async ([refused, met]) => {
      number += 1;
      const key = `drawn-${number}`;
      entry.faults = [...refused, ...met];
      const answer = await client.submit(
        {tasks: [{service: 'quotes', payload: number}]},
        {key},
      );
      const jobs = [...entry.jobs].filter(([name]) => name.endsWith(`/${key}`));
      const starts = jobs.reduce((sum, [, job]) => sum + job.starts, 0);
      assert.ok(starts <= 1);
      if (answer.isOk()) assert.equal(starts, 1);
      else if (answer.error.ran === RunStatus.NotRun) assert.equal(starts, 0);
    }),
    {seed: SEED, numRuns: 60},
  );
  await client.close();
  await entry.close();
});

test('a spent retry budget makes wait, and fills with time and with use', () => {
  const budget = new RetryBudget(2, 0);
  assert.deepEqual(
    [0, 0, 0, 0].map(now => budget.take(now)),
    [0, 0, 100, 200],
  );
  budget.giveBack();
  assert.equal(budget.take(200), 0);
  for (let submission = 0; submission < 5; submission += 1) budget.earn();
  assert.equal(budget.take(200), 0);
  assert.equal(budget.take(200), 100);
});

test('a call gives up at its end and leaves its retry to others', () => {
  const budget = new RetryBudget(1, 0);
  const patience = new Patience(1_000, 3, budget);
  assert.equal(patience.takeTry(0, 5_000, 0), undefined);
  assert.equal(patience.takeTry(0, 200, 0), 200);
  assert.equal(patience.takeTry(0, 200, 0), undefined);
});
