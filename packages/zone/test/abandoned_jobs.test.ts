import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonedJobs} from '../src/holder/abandoned_jobs.js';

test('a job whose runs do not end soon is told to other zones, once more than before', () => {
  const jobs = new AbandonedJobs();
  jobs.update(new Set(['a']), 0);
  jobs.update(new Set(['a']), 99);
  assert.deepEqual(jobs.told, []);
  const before = jobs.revision;
  jobs.update(new Set(['a', 'b']), 100);
  assert.deepEqual(jobs.told, ['a']);
  assert.notEqual(jobs.revision, before);
  const after = jobs.revision;
  jobs.update(new Set(['a', 'b']), 150);
  assert.equal(jobs.revision, after);
});

test('a job whose runs have ended is no longer told', () => {
  const jobs = new AbandonedJobs();
  jobs.update(new Set(['a']), 0);
  jobs.update(new Set(['a']), 200);
  jobs.update(new Set(), 250);
  assert.deepEqual(jobs.told, []);
});
