import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createOverload,
  Deployment,
  findServedShare,
  summarizeShares,
} from './fixtures/overload_load.js';
import {simulateJobs} from './fixtures/simulated_load.js';

const SEEDS = [1, 2, 3, 4];

function simulateOverload(deployment: Deployment, factor: number) {
  return SEEDS.map(seed =>
    simulateJobs(createOverload(deployment, factor, seed)),
  );
}

function average(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

for (const deployment of [Deployment.A, Deployment.B]) {
  const days = simulateOverload(deployment, 3.5);

  // Guards against callers that return as told and are refused again.
  test(`callers that return as told are served in deployment ${deployment}`, () => {
    const shares = days.map(jobs =>
      findServedShare(jobs.filter(({returns}) => returns > 0)),
    );
    assert.ok(average(shares) > 0.75, `${average(shares)}`);
  });

  // Guards against queues that starve while 3.5 times the jobs come.
  test(`no queue starves under overload in deployment ${deployment}`, () => {
    for (const queue of ['checks', 'runs', 'quotes']) {
      const shares = days.map(jobs => summarizeShares(jobs, queue));
      const all = average(shares.map(share => share.all));
      assert.ok(all > 0.5, `${queue}: ${all}`);
    }
  });

  // Guards against large jobs that starve beside the others of their queue.
  test(`large jobs of short tasks are served at least half as often as their queue in deployment ${deployment}`, () => {
    for (const queue of ['checks', 'quotes']) {
      const shares = days.map(jobs => summarizeShares(jobs, queue));
      const all = average(shares.map(share => share.all));
      const largest = average(shares.map(share => share.largest));
      const large = average(shares.map(share => share.large));
      assert.ok(largest > all / 2, `${queue}: ${largest} of ${all}`);
      assert.ok(large > all / 2, `${queue}: ${large} of ${all}`);
    }
  });
}
