import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SettingsAnswer} from '@goldcrestpier/peers';
import {Ran, type SettingsRevision} from '@goldcrestpier/protocol';
import {silentLogger, sleep, type Lifecycle} from '@goldcrestpier/runtime';
import fc from 'fast-check';
import {Ok} from 'ts-results-es';
import {
  createEditId,
  SettingsFollower,
  SettingsStore,
  type EditRequest,
} from '../src/index.js';
import {
  createClient,
  lifecycle,
  setWaiting,
  startService,
  waitUntil,
} from './service_fixture.js';

const SEED = Number(process.env['SETTINGS_SEED'] ?? 1_905);
const RUNS = Number(process.env['SETTINGS_RUNS'] ?? 12);
const INSTANCES = 3;

/** What befalls the platform while operators edit. */
const faults = fc.constantFrom(
  {},
  {slowMs: 10},
  {loseAnswers: 1},
  {loseAnswers: 2},
  {dropWatches: true},
  {down: true},
);
const step = fc.record({
  fault: faults,
  again: faults,
  operators: fc.integer({min: 1, max: 3}),
  compacts: fc.boolean(),
});

enum Fate {
  Accepted = 'accepted',
  NotRun = 'not_run',
  Unknown = 'unknown',
}

/** Instance 0 watches; each of the others hears of the one before it. */
function startInstances(address: string, owner: Lifecycle): SettingsFollower[] {
  const followers: SettingsFollower[] = [];
  const answerFrom = (peer: string, known: number): SettingsAnswer =>
    followers[Number(peer)]?.snapshotFor(known) ?? {revision: 0};
  for (let index = 0; index < INSTANCES; index += 1) {
    const follower = new SettingsFollower({
      client: createClient(address),
      logger: silentLogger,
      lifecycle: owner,
      pollMs: 50,
      fetchFromPeer: (known, peer) =>
        Promise.resolve(Ok(answerFrom(peer, known))),
    });
    follower.start();
    follower.setWatching(index === 0);
    followers.push(follower);
  }
  return followers;
}

function beatHearts(followers: readonly SettingsFollower[]): void {
  for (const [index, follower] of followers.entries()) {
    const {revision} = follower.current;
    followers[index + 1]?.noticeRevision(revision, String(index));
    followers[index - 1]?.noticeRevision(revision, String(index));
  }
}

async function edit(store: SettingsStore, request: EditRequest): Promise<Fate> {
  const answer = await store.edit(request, new Date(0));
  if (answer.isOk()) return Fate.Accepted;
  return answer.error.ran === Ran.NotRun ? Fate.NotRun : Fate.Unknown;
}

function checkFates(
  fates: ReadonlyMap<string, Fate>,
  history: readonly SettingsRevision[],
): void {
  const revisions = history.map(({revision}) => revision);
  assert.deepEqual(
    revisions,
    revisions.map((_, index) => revisions.length - index),
  );
  for (const [editId, fate] of fates) {
    const times = history.filter(each => each.editId === editId).length;
    if (fate === Fate.Accepted) assert.equal(times, 1);
    if (fate === Fate.NotRun) assert.equal(times, 0);
    if (fate === Fate.Unknown) assert.ok(times <= 1);
  }
}

test('whatever befalls the platform, accepted edits come into force everywhere and never revert', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 1, maxLength: 5}),
      async all => {
        const service = await startService();
        const owner = lifecycle.createChild('drawn');
        const followers = startInstances(service.address, owner);
        const seen = followers.map(follower => {
          const revisions: number[] = [];
          void follower.changes.observe(
            ({revision}) => void revisions.push(revision),
          );
          return revisions;
        });
        const heart = setInterval(() => beatHearts(followers), 10);
        const store = new SettingsStore(
          createClient(service.address),
          silentLogger,
        );
        const fates = new Map<string, Fate>();
        for (const [
          index,
          {fault, again, operators, compacts},
        ] of all.entries()) {
          service.setFaults(fault);
          const edits = Array.from({length: operators}, async (_, operator) => {
            const editId = createEditId();
            const edits = [setWaiting(index * 10 + operator)];
            const request = {editId, by: `operator-${operator}`, edits};
            fates.set(editId, await edit(store, request));
          });
          // The second fault comes while the edits are under way.
          await sleep(5);
          service.setFaults(again);
          await Promise.all(edits);
          if (compacts) await compact(service.address);
        }
        service.setFaults({});
        const history = (await store.history(100)).unwrap();
        const tree = (await store.read()).unwrap();
        await waitUntil(() =>
          followers.every(({current}) => current.revision === tree.revision),
        );
        clearInterval(heart);
        for (const {current} of followers) {
          assert.deepEqual(current.toSnapshot(), tree.toSnapshot());
        }
        for (const revisions of seen) {
          assert.deepEqual(
            revisions,
            [...new Set(revisions)].sort((a, b) => a - b),
          );
        }
        checkFates(fates, history);
        await owner.close();
        await service.close();
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});

/** Forgets the history of the service, as far as it is up. */
async function compact(address: string): Promise<void> {
  const client = createClient(address);
  const read = await client.range({key: 'any'});
  if (read.isErr()) return;
  const body = JSON.stringify({revision: String(read.value.revision)});
  const init = {method: 'POST', body};
  await fetch(`${address}/v3/kv/compaction`, init).catch(() => undefined);
}
