import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  sumMetrics,
  groupByLabel,
  parseMetrics,
  subtractMetrics,
  sumByName,
} from '../src/index.js';

const TEXT = `# HELP sent Messages sent.
# TYPE sent counter
sent{kind="start"} 4
sent{kind="demand",to="a peer"} 2
sent{kind="demand",to="b"} 1
sent_bytes 900
broken
`;

test('values are parsed with their labels', () => {
  const values = parseMetrics(TEXT);
  assert.equal(values.size, 4);
  assert.equal(values.get('sent{kind="start"}'), 4);
});

test('values are summed by name and by label', () => {
  const values = parseMetrics(TEXT);
  assert.equal(sumByName(values, 'sent'), 7);
  assert.deepEqual(groupByLabel(values, 'sent', 'kind'), {
    start: 4,
    demand: 3,
  });
});

test('an increase counts from the earlier reading, and from zero after a restart', () => {
  const change = subtractMetrics(
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

test('readings of several instances are summed', () => {
  const sum = sumMetrics([new Map([['a', 1]]), new Map([['a', 2]])]);
  assert.equal(sum.get('a'), 3);
});
