import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  createIncarnation,
  formatSessionId,
  parseSessionId,
} from '../src/index.js';

test('a session id contains its owner and parses back to the same identity', () => {
  const owner = createIncarnation('batangas-1', 'e1');
  const text = formatSessionId({owner, sequence: 42});
  assert.deepEqual(parseSessionId(text), {owner, sequence: 42});
});

test('any text is either parsed as a session id or rejected without throwing', () => {
  fc.assert(
    fc.property(fc.string(), text => {
      const session = parseSessionId(text);
      return session === undefined || formatSessionId(session) === text;
    }),
    {seed: 1},
  );
});
