import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {InstanceState} from '@goldcrestpier/standins';
import {
  assertNoDoubledStart,
  assertTrueAnswer,
  createJob,
  expectAnswer,
  Stage,
} from '../src/index.js';

/** The brief's "a few seconds". */
const FEW_SECONDS_MS = 5_000;
/** How long starts are watched for after that. */
const WATCHED_MS = 1_500;

let stage: Stage;

before(async () => {
  stage = await Stage.open({listLagMs: 1_000});
});

after(() => stage.close());

/** Keeps every instance busy until told to stop; resolves when all ended. */
function keepBusy(label: string) {
  const control = {isWanted: true};
  const run = async (name: string) => {
    const caller = stage.callerOf(name);
    const session = await caller.openSession();
    for (let turn = 0; control.isWanted; turn += 1) {
      const job = createJob(20, 60);
      const reply = await caller.submit(session, `${label}-${turn}`, job);
      await assertTrueAnswer(stage.cluster, expectAnswer(reply));
    }
  };
  const names = stage.entries.filter(({pid}) => pid !== undefined);
  const ended = Promise.all(names.map(({name}) => run(name)));
  return async () => {
    control.isWanted = false;
    await ended;
  };
}

/** Runs load while `leave` makes the servers leave; looks at late starts. */
async function assertLeft(
  servers: readonly string[],
  leave: () => Promise<void>,
): Promise<void> {
  const stop = keepBusy(servers.join('-'));
  await pause(500);
  await leave();
  const leftAt = Date.now();
  await pause(FEW_SECONDS_MS + WATCHED_MS);
  await stop();
  const starts = await stage.cluster.readStarts();
  assert.ok(starts.some(({at}) => at > leftAt + FEW_SECONDS_MS));
  const late = starts.filter(
    ({server, at}) => servers.includes(server) && at > leftAt + FEW_SECONDS_MS,
  );
  assert.deepEqual(late, []);
  await assertNoDoubledStart(stage.cluster);
}

test('a server that leaves by a list that lags gets no new work after a few seconds', async () => {
  await assertLeft(['r1-1'], () =>
    stage.cluster.instanceLists.setState('r1-1', InstanceState.Leaving),
  );
});

test('a server that says so itself gets no new work, though the list is out', async () => {
  await stage.cluster.setPlatformDown(true);
  await assertLeft(['r2-1'], () =>
    stage.cluster.server('r2-1').admin.setFaults({leaving: true}),
  );
  const {admin} = stage.cluster.server('r2-1');
  // It refuses by itself; the promise is that it is also no longer asked.
  const {refused} = await admin.readCounts();
  await pause(WATCHED_MS);
  assert.deepEqual((await admin.readCounts()).refused, refused);
  await stage.cluster.setPlatformDown(false);
});

test('a server that leaves while its holder changes gets no new work after a few seconds', async () => {
  const zoneMate = stage.cluster.entry('e3-2');
  await assertLeft(['r3-1', 'r3-2'], async () => {
    await Promise.all(
      ['r3-1', 'r3-2'].map(name =>
        stage.cluster.instanceLists.setState(name, InstanceState.Leaving),
      ),
    );
    zoneMate.pause();
    setTimeout(() => zoneMate.resume(), 2_000);
  });
});
