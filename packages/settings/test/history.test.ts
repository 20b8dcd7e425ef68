import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silentLogger} from '@goldcrestpier/runtime';
import {HISTORY_KEPT, SettingsStore} from '../src/index.js';
import {createClient, startService, writeWaiting} from './service_fixture.js';

const EDITS = HISTORY_KEPT + 5;

test('the history keeps the latest edits, and the service no more than these', async () => {
  const client = createClient((await startService()).address);
  for (let value = 1; value <= EDITS; value += 1) {
    assert.equal(await writeWaiting(client, value), value);
  }
  const store = new SettingsStore(client, silentLogger);
  const history = (await store.history(2 * EDITS)).unwrap();
  assert.deepEqual(
    history.map(({revision}) => revision),
    Array.from({length: HISTORY_KEPT}, (_, index) => EDITS - index),
  );
  const query = {key: 'goldcrestpier/settings/', isPrefix: true};
  const {values} = (await client.range(query)).unwrap();
  // For each kept edit its record and its id; the revision; the root.
  assert.equal(values.length, 2 * HISTORY_KEPT + 2);
});
