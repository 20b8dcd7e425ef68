import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TaskIndex} from '../src/dispatcher/jobs/index.js';
import {createTasks} from '../src/dispatcher/jobs/index.js';
import {createJob} from './fixtures/dispatcher_setup.js';

const need = {cpuMillis: 1_000, memoryMb: 1, accelerators: 0};

test('tasks are ready when all tasks of each earlier step are done', () => {
  const job = createJob('a', 1, {
    steps: [
      {tasks: 2, need, estimateMs: 10, after: []},
      {tasks: 1, need, estimateMs: 10, after: []},
      // Callers may name an earlier step more than once.
      {tasks: 2, need, estimateMs: 10, after: [0, 1, 0]},
    ],
  });
  const tasks = createTasks(job, 0);
  const index = new TaskIndex(tasks);
  const listReady = () => [...index.readyTasks()].map(({key}) => key);
  const ready = [listReady()];
  for (const task of tasks.slice(0, 3)) {
    index.setState(task, {kind: 'done'});
    ready.push(listReady());
  }
  assert.deepEqual(ready, [
    ['a.0.0.0', 'a.0.0.1', 'a.0.1.0'],
    ['a.0.0.1', 'a.0.1.0'],
    ['a.0.1.0'],
    ['a.0.2.0', 'a.0.2.1'],
  ]);
  assert.deepEqual([index.size, index.waitingCount], [5, 2]);
});
