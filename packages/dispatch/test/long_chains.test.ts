import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findLongestChain, type Step} from '../src/index.js';

const STEP: Step = {
  tasks: 1,
  need: {cpuMillis: 1, memoryMb: 1, accelerators: 0},
  estimateMs: 10,
  after: [],
};

test('the longest chain is found for a step that lists 300,000 earlier ones', () => {
  const after = Array.from({length: 300_000}, () => 0);
  const steps = [STEP, {...STEP, after}];
  const longestMs = findLongestChain(steps, ({estimateMs}) => estimateMs);
  assert.equal(longestMs, 20);
});

test('the longest chain is found for 300,000 steps', () => {
  const steps = Array.from({length: 300_000}, () => STEP);
  const longestMs = findLongestChain(steps, ({estimateMs}) => estimateMs);
  assert.equal(longestMs, 10);
});
