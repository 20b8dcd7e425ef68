import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  formatFreeCapacity,
  toZoneCapacity,
} from '../src/holder/free_capacity.js';
import {createDispatcher, worker} from './fixtures/dispatcher.js';

test('workers with the same free capacity share one row, which reads back unchanged', () => {
  const dispatcher = createDispatcher(0);
  const others = ['w2', 'w3'].map(id => ({...worker, id}));
  dispatcher.setWorkers([worker, ...others], 0);
  for (const {id} of others) {
    const status = {clockMs: 5, bornAt: 1, running: [], ended: []};
    dispatcher.handleReport(id, status, 0, 0);
  }
  const [room] = formatFreeCapacity(dispatcher, 1);
  assert.ok(room !== undefined);
  assert.equal(room.vacancies.length, 1);
  const {vacancies} = toZoneCapacity('east', room);
  assert.equal(vacancies.length, 3);
  assert.deepEqual(vacancies, dispatcher.findVacancies(room.service, 1));
});
