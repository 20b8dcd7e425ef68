import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createIncarnation, formatSession, parseSession} from '../src/index.js';

test('a session names its owner and reads back as it was written', () => {
  const owner = createIncarnation('batangas-1', 'e1');
  const text = formatSession({owner, sequence: 42});
  assert.deepEqual(parseSession(text), {owner, sequence: 42});
});

test('any text is read as a session or turned down, and never throws', () => {
  fc.assert(
    fc.property(fc.string(), text => {
      const session = parseSession(text);
      return session === undefined || formatSession(session) === text;
    }),
    {seed: 1},
  );
});
