import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonedJobs} from '../src/holder/abandoned_jobs.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {noopLogger} from './fixtures/dispatcher.js';

function createAbandonedJobs(logger = noopLogger): AbandonedJobs {
  return new AbandonedJobs({logger, metrics: new ZoneMetrics()});
}

/** Jobs that were found to be abandoned at `now`. */
function findAt(jobIds: readonly string[], now: number): Map<string, number> {
  return new Map(jobIds.map(jobId => [jobId, now]));
}

test('a job whose runs do not end soon is told to other zones, once more than before', () => {
  const jobs = createAbandonedJobs();
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
  const jobs = createAbandonedJobs();
  jobs.update(findAt(['a'], 0), 0);
  jobs.update(findAt(['a'], 200), 200);
  jobs.update(findAt([], 250), 250);
  assert.deepEqual(jobs.told, []);
});

test('a run that no job has claimed from an earlier holder is told at once by the next', () => {
  const jobs = createAbandonedJobs();
  const unclaimedSince = 0;
  jobs.update(new Map([['a', unclaimedSince]]), 150);
  assert.deepEqual(jobs.told, ['a']);
});

test('a list of abandoned jobs that is cut says how many it lacks, and is logged once', () => {
  const logged: string[] = [];
  const error = (message: string) => logged.push(message);
  const jobs = createAbandonedJobs({...noopLogger, error});
  const jobIds = Array.from({length: 4_003}, (_, index) => `job-${index}`);
  jobs.update(findAt(jobIds, 0), 0);
  assert.deepEqual(jobs.report(), {});
  jobs.update(findAt(jobIds, 0), 100);
  jobs.update(findAt(jobIds, 0), 125);
  const {abandonedJobs, abandonedJobsLeftOut} = jobs.report();
  assert.equal(abandonedJobs?.length, 4_000);
  assert.equal(abandonedJobsLeftOut, 3);
  assert.deepEqual(logged, ['list of abandoned jobs is cut']);
  const before = jobs.revision;
  jobs.update(findAt([...jobIds].slice(0, 4_000), 0), 150);
  assert.equal(jobs.report().abandonedJobsLeftOut, undefined);
  jobs.update(findAt(jobIds, 0), 175);
  jobs.update(findAt(jobIds, 0), 300);
  assert.notEqual(jobs.revision, before);
});
