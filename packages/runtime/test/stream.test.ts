import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTopic} from '../src/index.js';

test('a subscriber gets the values published after it subscribed, until the end', async () => {
  const topic = createTopic<number>();
  topic.publish(0);
  const seen: number[] = [];
  const done = topic.stream
    .map(value => value * 2)
    .observe(value => {
      seen.push(value);
    });
  await Promise.resolve();
  topic.publish(1);
  topic.publish(2);
  await new Promise(resolve => setImmediate(resolve));
  topic.end();
  await done;
  assert.deepEqual(seen, [2, 4]);
});
