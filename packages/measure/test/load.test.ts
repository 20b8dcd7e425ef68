import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLoad, LOAD_PROFILES, type LoadOptions} from '../src/index.js';

const {lakandula} = LOAD_PROFILES;
assert.ok(lakandula);
const SHAPE: LoadOptions = {
  profile: lakandula,
  seed: 7,
  seconds: 600,
  load: 0.7,
  capacity: 480,
  meanSpeed: 2,
  weights: [2, 1, 1],
};
const jobs = createLoad(SHAPE);

test('the same seed generates the same load, and another seed a different one', () => {
  assert.deepEqual(createLoad(SHAPE), jobs);
  assert.notDeepEqual(createLoad({...SHAPE, seed: 8}), jobs);
});

test('the generated work is the requested share of the capacity', () => {
  const workMs = jobs
    .flatMap(({tasks}) => tasks)
    .reduce((sum, task) => sum + task.workMs, 0);
  const load = workMs / (SHAPE.capacity * SHAPE.seconds * 1_000);
  assert.ok(Math.abs(load - SHAPE.load) < 0.1, `${load}`);
});

test('jobs have 1 to 690 tasks that run 50 ms to 6 s on a server of mean speed', () => {
  for (const {tasks} of jobs) {
    assert.ok(tasks.length >= 1 && tasks.length <= 690);
    for (const {workMs} of tasks) {
      assert.ok(workMs >= 100 && workMs <= 12_000);
    }
  }
});

test('declared run times are off by a factor of 4 at most', () => {
  for (const {workMs, declaredMs} of jobs.flatMap(({tasks}) => tasks)) {
    const factor = declaredMs / workMs;
    assert.ok(factor > 0.24 && factor < 4.1, `${factor}`);
  }
});

test('entry instances get jobs in proportion to their weights', () => {
  const share = jobs.filter(({entry}) => entry === 0).length / jobs.length;
  assert.ok(Math.abs(share - 0.5) < 0.05, `${share}`);
});
