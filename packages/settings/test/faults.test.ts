import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SettingsAnswer} from '@goldcrestpier/peers';
import {RunStatus, type SettingsRevision} from '@goldcrestpier/protocol';
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
  createLimitEdit,
  startService,
  waitUntil,
} from './service_fixture.js';

const SEED = Number(process.env['SETTINGS_SEED'] ?? 1_905);
const RUNS = Number(process.env['SETTINGS_RUNS'] ?? 12);
const INSTANCES = 3;

/** Faults of the platform while operators edit. */
const faults = fc.constantFrom(
  {},
  {slowMs: 10},
  {loseAnswers: 1},
  {loseAnswers: 2},
  {dropWatches: true},
  {down: true},
);
const editStep = fc.record({
  fault: faults,
  secondFault: faults,
  operators: fc.integer({min: 1, max: 3}),
  compacts: fc.boolean(),
});

enum EditOutcome {
  Accepted = 'accepted',
  NotRun = 'not_run',
  Unknown = 'unknown',
}

/** Starts instances. Instance 0 watches; the others fetch from neighbors. */
function startInstances(address: string, owner: Lifecycle): SettingsFollower[] {
  const followers: SettingsFollower[] = [];
  const readSnapshot = (peer: string, knownRevision: number): SettingsAnswer =>
    followers[Number(peer)]?.getSnapshotIfNewer(knownRevision) ?? {revision: 0};
  for (let index = 0; index < INSTANCES; index += 1) {
    const follower = new SettingsFollower({
      client: createClient(address),
      logger: silentLogger,
      lifecycle: owner,
      pollMs: 50,
      fetchFromPeer: (known, peer) =>
        Promise.resolve(Ok(readSnapshot(peer, known))),
    });
    follower.start();
    follower.setWatching(index === 0);
    followers.push(follower);
  }
  return followers;
}

function exchangeHeartbeats(followers: readonly SettingsFollower[]): void {
  for (const [index, follower] of followers.entries()) {
    const {revision} = follower.current;
    followers[index + 1]?.recordPeerRevision(revision, String(index));
    followers[index - 1]?.recordPeerRevision(revision, String(index));
  }
}

async function applyEdit(
  store: SettingsStore,
  request: EditRequest,
): Promise<EditOutcome> {
  const answer = await store.edit(request, new Date(0));
  if (answer.isOk()) return EditOutcome.Accepted;
  return answer.error.ran === RunStatus.NotRun
    ? EditOutcome.NotRun
    : EditOutcome.Unknown;
}

function checkOutcomes(
  outcomes: ReadonlyMap<string, EditOutcome>,
  history: readonly SettingsRevision[],
): void {
  const revisions = history.map(({revision}) => revision);
  assert.deepEqual(
    revisions,
    revisions.map((_, index) => revisions.length - index),
  );
  for (const [editId, outcome] of outcomes) {
    const count = history.filter(record => record.editId === editId).length;
    if (outcome === EditOutcome.Accepted) assert.equal(count, 1);
    if (outcome === EditOutcome.NotRun) assert.equal(count, 0);
    if (outcome === EditOutcome.Unknown) assert.ok(count <= 1);
  }
}

test('under platform faults, accepted edits reach every instance and never revert', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(editStep, {minLength: 1, maxLength: 5}),
      async steps => {
        const service = await startService();
        const owner = lifecycle.createChild('generated');
        const followers = startInstances(service.address, owner);
        const revisionLists = followers.map(follower => {
          const revisions: number[] = [];
          void follower.changes.observe(
            ({revision}) => void revisions.push(revision),
          );
          return revisions;
        });
        const heartbeatTimer = setInterval(
          () => exchangeHeartbeats(followers),
          10,
        );
        const store = new SettingsStore(
          createClient(service.address),
          silentLogger,
        );
        const outcomes = new Map<string, EditOutcome>();
        for (const [
          index,
          {fault, secondFault, operators, compacts},
        ] of steps.entries()) {
          service.setFaults(fault);
          const edits = Array.from({length: operators}, async (_, operator) => {
            const editId = createEditId();
            const edits = [createLimitEdit(index * 10 + operator)];
            const request = {editId, by: `operator-${operator}`, edits};
            outcomes.set(editId, await applyEdit(store, request));
          });
          // The second fault starts while the edits are in progress.
          await sleep(5);
          service.setFaults(secondFault);
          await Promise.all(edits);
          if (compacts) await compactHistory(service.address);
        }
        service.setFaults({});
        const history = (await store.history(100)).unwrap();
        const tree = (await store.read()).unwrap();
        await waitUntil(() =>
          followers.every(({current}) => current.revision === tree.revision),
        );
        clearInterval(heartbeatTimer);
        for (const {current} of followers) {
          assert.deepEqual(current.toSnapshot(), tree.toSnapshot());
        }
        for (const revisions of revisionLists) {
          assert.deepEqual(
            revisions,
            [...new Set(revisions)].sort((a, b) => a - b),
          );
        }
        checkOutcomes(outcomes, history);
        await owner.close();
        await service.close();
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});

/** Compacts the revision history of the service, if it is available. */
async function compactHistory(address: string): Promise<void> {
  const client = createClient(address);
  const read = await client.range({key: 'any'});
  if (read.isErr()) return;
  const body = JSON.stringify({revision: String(read.value.revision)});
  const init = {method: 'POST', body};
  await fetch(`${address}/v3/kv/compaction`, init).catch(() => undefined);
}
