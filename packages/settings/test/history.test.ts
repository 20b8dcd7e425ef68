import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silentLogger} from '@goldcrestpier/runtime';
import {MAX_HISTORY_RECORDS, SettingsStore} from '../src/index.js';
import {
  createClient,
  startService,
  writeMaxWaiting,
} from './service_fixture.js';

const EDITS = MAX_HISTORY_RECORDS + 5;

test('the history and the service keep only the latest edits', async () => {
  const client = createClient((await startService()).address);
  for (let value = 1; value <= EDITS; value += 1) {
    assert.equal(await writeMaxWaiting(client, value), value);
  }
  const store = new SettingsStore(client, silentLogger);
  const history = (await store.history(2 * EDITS)).unwrap();
  assert.deepEqual(
    history.map(({revision}) => revision),
    Array.from({length: MAX_HISTORY_RECORDS}, (_, index) => EDITS - index),
  );
  const query = {key: 'goldcrestpier/settings/', isPrefix: true};
  const {values} = (await client.range(query)).unwrap();
  // A record and an edit id for each kept edit, the revision key and the root.
  assert.equal(values.length, 2 * MAX_HISTORY_RECORDS + 2);
});
