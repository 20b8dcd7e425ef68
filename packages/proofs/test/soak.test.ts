import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runSoak} from '../src/index.js';

const SEEDS = [11, 42];

for (const seed of SEEDS) {
  test(`no guarantee is violated under the faults of seed ${seed}`, async t => {
    const result = await runSoak({
      seed,
      rounds: 1,
      settleMs: 1_000,
      report: line => t.diagnostic(line),
    });
    t.diagnostic(JSON.stringify(result));
    assert.deepEqual(result.violations, []);
    assert.ok(result.complete > 0);
  });
}
