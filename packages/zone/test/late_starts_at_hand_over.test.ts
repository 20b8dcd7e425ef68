import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {readClock} from '@goldcrestpier/runtime';
import {toSubmission} from '../src/holder/job_conversion.js';
import {ControlledHolder} from './fixtures/controlled_holder.js';
import {createJob} from './fixtures/dispatcher.js';

test('a closing holder tells the starts that have got no answer yet, as they may come late', async () => {
  const fixture = new ControlledHolder({start: () => new Promise(() => {})});
  await nextTurn();
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'owner', false, now);
  const answer = fixture.holder.submit(job);
  while (fixture.holder.countWaiting('quotes') > 0) await nextTurn();
  void fixture.lifecycle.close();
  const handover = await answer;
  assert.ok(handover.kind === 'not_holder');
  assert.equal(handover.progress?.tasks[0]?.state.kind, 'running');
  const told = handover.unansweredStarts?.map(({task}) => task);
  assert.deepEqual(told, ['a.0.0.0']);
});
