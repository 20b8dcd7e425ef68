import {setTimeout as pause} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import {
  assertNoDuplicateStarts,
  assertComplete,
  createJob,
  expectAnswer,
  ClusterFixture,
} from '../src/index.js';

const FREEZE_MS = 6_000;

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch();
});

after(() => fixture.close());

test('an owner that was frozen with waiting tasks gets grants again and completes the job', async () => {
  const owner = fixture.cluster.entry('e1-1');
  const caller = fixture.createCaller(owner);
  const session = await caller.openSession();
  const job = createJob(400, 300);
  const reply = caller.submit(session, 'waiting', job);
  await pause(200);
  owner.pause();
  // Load through another instance keeps the servers busy, so that the holders
  // have demand to grant for.
  const others = fixture.createCallerTo('e2-1');
  const other = await others.openSession();
  await others.submit(other, 'meanwhile', createJob(200, 300));
  await pause(FREEZE_MS);
  owner.resume();
  assertComplete(expectAnswer(await reply), job);
  await assertNoDuplicateStarts(fixture.cluster);
});
