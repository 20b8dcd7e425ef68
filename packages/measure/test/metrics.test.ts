import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  addFigures,
  groupByLabel,
  parseMetrics,
  subtractFigures,
  sumOf,
} from '../src/index.js';

const TEXT = `# HELP sent Messages sent.
# TYPE sent counter
sent{kind="start"} 4
sent{kind="demand",to="a peer"} 2
sent{kind="demand",to="b"} 1
sent_bytes 900
broken
`;

test('figures are read with their labels', () => {
  const figures = parseMetrics(TEXT);
  assert.equal(figures.size, 4);
  assert.equal(figures.get('sent{kind="start"}'), 4);
});

test('figures are summed by name and by label', () => {
  const figures = parseMetrics(TEXT);
  assert.equal(sumOf(figures, 'sent'), 7);
  assert.deepEqual(groupByLabel(figures, 'sent', 'kind'), {
    start: 4,
    demand: 3,
  });
});

test('a change is what was counted since, from zero after a restart', () => {
  const change = subtractFigures(
    new Map([
      ['a', 7],
      ['b', 2],
    ]),
    new Map([
      ['a', 5],
      ['b', 9],
    ]),
  );
  assert.deepEqual(Object.fromEntries(change), {a: 2, b: 2});
});

test('readings of several instances are added up', () => {
  const sum = addFigures([new Map([['a', 1]]), new Map([['a', 2]])]);
  assert.equal(sum.get('a'), 3);
});
