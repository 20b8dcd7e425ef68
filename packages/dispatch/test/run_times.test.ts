import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RunTimes} from '../src/index.js';

test('a new worker starts with the slowness of its kind', () => {
  const runTimes = new RunTimes();
  runTimes.setKind('w1', 'quick');
  runTimes.setKind('w2', 'quick');
  runTimes.setKind('w3', 'plain');
  for (let count = 0; count < 50; count += 1) {
    runTimes.learn('w1', 'quotes', 100, 60);
    runTimes.learn('w3', 'quotes', 100, 140);
  }
  const quick = runTimes.getSlowness('w2') / runTimes.getSlowness('w3');
  assert.ok(quick < 0.6, `${quick}`);
});

test('a worker that is slower than its kind is recognized after a few runs', () => {
  const runTimes = new RunTimes();
  for (const id of ['w1', 'w2']) runTimes.setKind(id, 'quick');
  for (let count = 0; count < 50; count += 1) {
    runTimes.learn('w1', 'quotes', 100, 100);
  }
  for (let count = 0; count < 5; count += 1) {
    runTimes.learn('w2', 'quotes', 100, 400);
  }
  assert.ok(runTimes.getSlowness('w2') > 1.6);
  assert.ok(runTimes.getSlowness('w1') < 1.1);
});

test('one long run changes neither the factor of its queue nor its worker much', () => {
  const runTimes = new RunTimes();
  for (let count = 0; count < 50; count += 1)
    runTimes.learn('w1', 'quotes', 100, 100);
  runTimes.learn('w1', 'quotes', 100, 700);
  assert.ok(runTimes.getSlowness('w1') < 1.2);
  assert.ok(runTimes.predict('quotes', 100) < 106);
});

test('the share and the length of the long tasks of a queue are learned', () => {
  const runTimes = new RunTimes();
  for (let count = 0; count < 1_000; count += 1) {
    const tookMs = count % 33 === 0 ? 700 : 100;
    runTimes.learn(`w${count % 7}`, 'quotes', 100, tookMs);
  }
  const {share, factor} = runTimes.getTail('quotes');
  assert.ok(Math.abs(share - 0.03) < 0.01, `${share}`);
  assert.ok(Math.abs(factor - 7) < 1.5, `${factor}`);
});
