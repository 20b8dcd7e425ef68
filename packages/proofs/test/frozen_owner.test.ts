import {setTimeout as pause} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import {
  assertNoDoubledStart,
  assertWhole,
  createJob,
  expectAnswer,
  Stage,
} from '../src/index.js';

const FREEZE_MS = 6_000;

let stage: Stage;

before(async () => {
  stage = await Stage.open();
});

after(() => stage.close());

test('an owner that was frozen with tasks waiting gets its grants again and ends the job', async () => {
  const owner = stage.cluster.entry('e1-1');
  const caller = stage.caller(owner);
  const session = await caller.openSession();
  const job = createJob(400, 300);
  const reply = caller.submit(session, 'waiting', job);
  await pause(200);
  owner.pause();
  // Others keep the servers busy, so that the holders have work to grant for.
  const others = stage.callerOf('e2-1');
  const other = await others.openSession();
  await others.submit(other, 'meanwhile', createJob(200, 300));
  await pause(FREEZE_MS);
  owner.resume();
  assertWhole(expectAnswer(await reply), job);
  await assertNoDoubledStart(stage.cluster);
});
