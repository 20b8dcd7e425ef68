import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonedJobs} from '../src/holder/abandoned_jobs.js';

/** Jobs that were found to be abandoned at `now`. */
function findAt(jobIds: readonly string[], now: number): Map<string, number> {
  return new Map(jobIds.map(jobId => [jobId, now]));
}

test('a job whose runs do not end soon is told to other zones, once more than before', () => {
  const jobs = new AbandonedJobs();
  jobs.update(findAt(['a'], 0), 0);
  jobs.update(findAt(['a'], 99), 99);
  assert.deepEqual(jobs.told, []);
  const before = jobs.revision;
  jobs.update(findAt(['a', 'b'], 100), 100);
  assert.deepEqual(jobs.told, ['a']);
  assert.notEqual(jobs.revision, before);
  const after = jobs.revision;
  jobs.update(findAt(['a', 'b'], 150), 150);
  assert.equal(jobs.revision, after);
});

test('a job whose runs have ended is no longer told', () => {
  const jobs = new AbandonedJobs();
  jobs.update(findAt(['a'], 0), 0);
  jobs.update(findAt(['a'], 200), 200);
  jobs.update(findAt([], 250), 250);
  assert.deepEqual(jobs.told, []);
});

test('a run that no job has claimed from an earlier holder is told at once by the next', () => {
  const jobs = new AbandonedJobs();
  const unclaimedSince = 0;
  jobs.update(new Map([['a', unclaimedSince]]), 150);
  assert.deepEqual(jobs.told, ['a']);
});
