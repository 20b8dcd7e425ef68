import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TaskHistory} from '@goldcrestpier/dispatch';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {DelegationDiscovery} from '../src/holder/delegation_discovery.js';
import type {ZoneClient} from '../src/protocol/index.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
} from './fixtures/dispatcher.js';

test('a new holder starts no job on the answer of an instance that is not the holder of its zone', async () => {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const answer = {isComplete: false, tasks: []};
  const client: Pick<ZoneClient, 'listDelegatedTasks'> = {
    listDelegatedTasks: () => Promise.resolve(Ok(answer)),
  };
  const discovery = new DelegationDiscovery({
    zone: 'west',
    token: 9,
    dispatcher,
    history: new TaskHistory(),
    findZoneClient: () => client as ZoneClient,
    logger: noopLogger,
    onChange: () => undefined,
  });
  void discovery.discover(['east']);
  dispatcher.submit(createJob('a', 1, now), false, now);
  await sleep(30);
  assert.deepEqual(dispatcher.tick(readClock()), []);
});
