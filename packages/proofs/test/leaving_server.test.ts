import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {InstanceState} from '@goldcrestpier/standins';
import {
  assertNoDuplicateStarts,
  assertAnswerMatchesRecords,
  createJob,
  expectAnswer,
  ClusterFixture,
} from '../src/index.js';

/** A leaving server must get no new work "after a few seconds". */
const MAX_LEAVING_MS = 5_000;
/** How long starts are recorded after that. */
const OBSERVED_MS = 1_500;

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch({listLagMs: 1_000});
});

after(() => fixture.close());

/**
 * Sends jobs through every instance. The returned function stops the load and
 * resolves when all jobs have ended.
 */
function startLoad(label: string) {
  const control = {isLoadWanted: true};
  const run = async (name: string) => {
    const caller = fixture.createCallerTo(name);
    const session = await caller.openSession();
    for (let turn = 0; control.isLoadWanted; turn += 1) {
      const job = createJob(20, 60);
      const reply = await caller.submit(session, `${label}-${turn}`, job);
      await assertAnswerMatchesRecords(fixture.cluster, expectAnswer(reply));
    }
  };
  const names = fixture.entries.filter(({pid}) => pid !== undefined);
  const ended = Promise.all(names.map(({name}) => run(name)));
  return async () => {
    control.isLoadWanted = false;
    await ended;
  };
}

/**
 * Runs a load while `leave` makes the servers leave; asserts no late starts.
 */
async function assertNoLateStarts(
  servers: readonly string[],
  leave: () => Promise<void>,
): Promise<void> {
  const stop = startLoad(servers.join('-'));
  await pause(500);
  await leave();
  const leftAt = Date.now();
  await pause(MAX_LEAVING_MS + OBSERVED_MS);
  await stop();
  const starts = await fixture.cluster.readStarts();
  assert.ok(starts.some(({at}) => at > leftAt + MAX_LEAVING_MS));
  const late = starts.filter(
    ({server, at}) => servers.includes(server) && at > leftAt + MAX_LEAVING_MS,
  );
  assert.deepEqual(late, []);
  await assertNoDuplicateStarts(fixture.cluster);
}

test('a server listed as leaving gets no new work after a few seconds, though the list lags', async () => {
  await assertNoLateStarts(['r1-1'], () =>
    fixture.cluster.instanceLists.setState('r1-1', InstanceState.Leaving),
  );
});

test('a server that reports itself as leaving gets no new work while the list is unavailable', async () => {
  await fixture.cluster.setPlatformDown(true);
  await assertNoLateStarts(['r2-1'], () =>
    fixture.cluster.server('r2-1').admin.setFaults({leaving: true}),
  );
  const {admin} = fixture.cluster.server('r2-1');
  // The server refuses new work anyway; it must also receive no requests.
  const {refused} = await admin.readCounts();
  await pause(OBSERVED_MS);
  assert.deepEqual((await admin.readCounts()).refused, refused);
  await fixture.cluster.setPlatformDown(false);
});

test('a server that leaves while its holder changes gets no new work after a few seconds', async () => {
  const zonePeer = fixture.cluster.entry('e3-2');
  await assertNoLateStarts(['r3-1', 'r3-2'], async () => {
    await Promise.all(
      ['r3-1', 'r3-2'].map(name =>
        fixture.cluster.instanceLists.setState(name, InstanceState.Leaving),
      ),
    );
    zonePeer.pause();
    setTimeout(() => zonePeer.resume(), 2_000);
  });
});
