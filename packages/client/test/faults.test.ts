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
  RetryLimits,
  RetryBudget,
} from '../src/retry/index.js';
import {FakeInstance, failWith, type Fault} from './fake_instance.js';

const SEED = 20_261_203;
const faults = fc.constantFrom<Fault>(
  {kind: 'none'},
  {kind: 'reset-before'},
  {kind: 'reset-after'},
  {kind: 'malformed'},
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

test('sends a job under another attempt or session only if it was not run', () => {
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

test('starts a job at most once and reports truly whether it ran, whatever the faults', async () => {
  const entry = new FakeInstance();
  const origin = await entry.listen();
  const client = createClient({origin, maxTries: 5, retryReserve: 10_000});
  let number = 0;
  // An owner refuses only jobs that it has not accepted: refusals come first.
  const script = fc.tuple(
    fc.array(refusals, {maxLength: 3}),
    fc.array(faults, {maxLength: 5}),
  );
  await fc.assert(
    fc.asyncProperty(script, async ([drawnRefusals, drawnFaults]) => {
      number += 1;
      const key = `drawn-${number}`;
      entry.faults = [...drawnRefusals, ...drawnFaults];
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

test('an empty retry budget delays retries and refills over time and by submissions', () => {
  const budget = new RetryBudget(2, 0);
  assert.deepEqual(
    [0, 0, 0, 0].map(now => budget.take(now)),
    [0, 0, 100, 200],
  );
  budget.refund();
  assert.equal(budget.take(200), 0);
  for (let submission = 0; submission < 5; submission += 1)
    budget.countSubmission();
  assert.equal(budget.take(200), 0);
  assert.equal(budget.take(200), 100);
});

test('a call that gives up at its deadline returns its retry to the budget', () => {
  const budget = new RetryBudget(1, 0);
  const limits = new RetryLimits(1_000, 3, budget);
  assert.equal(limits.takeRetryDelayMs(0, 5_000, 0), undefined);
  assert.equal(limits.takeRetryDelayMs(0, 200, 0), 200);
  assert.equal(limits.takeRetryDelayMs(0, 200, 0), undefined);
});
