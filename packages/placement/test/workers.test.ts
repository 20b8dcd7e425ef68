import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StartKind, type WorkerClient} from '@goldcrestpier/backends';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind, type Needs} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {codeOf, createTasks, openFleet, waitUntil} from './fixtures/fleet.js';

const TASK_MS = 5;

function createWorker(name: string, accelerators: number): Server {
  return {
    name,
    kind: BackendKind.Worker,
    zone: 'zone-a',
    pool: 'worker',
    address: '127.0.0.1:1',
    state: ServerState.Live,
    slots: 0,
    processors: 8,
    memoryMb: 1_000,
    accelerators,
    rack: undefined,
  };
}

/** Fake workers that run each task briefly and report its memory usage. */
function createWorkers(usedMb: number) {
  const running = new Map<string, Needs[]>();
  const peak = {processors: 0, tasks: 0};
  const started: Array<[task: string, worker: string]> = [];
  const client: WorkerClient = {
    async start({name}, {task, needs}) {
      const current = running.get(name) ?? [];
      running.set(name, [...current, needs]);
      started.push([task, name]);
      const processors = [...current, needs].reduce(
        (sum, each) => sum + each.processors,
        0,
      );
      peak.processors = Math.max(peak.processors, processors);
      peak.tasks = Math.max(peak.tasks, current.length + 1);
      await new Promise(resolve => setTimeout(resolve, TASK_MS));
      const left = running.get(name) ?? [];
      running.set(name, left.slice(1));
      const usage = {processors: 1, memoryMb: usedMb};
      return {kind: StartKind.Done, result: task, runMs: TASK_MS, usage};
    },
    readUsage: () => Promise.resolve(undefined),
  };
  return {client, peak, started};
}

function createWorkerTasks(job: string, count: number, needs: Needs) {
  const target = {kind: BackendKind.Worker, needs} as const;
  return createTasks(count, {job, target});
}

test('concurrent tasks never exceed the resources of a worker', async () => {
  const {client, peak, started} = createWorkers(10);
  const servers = [createWorker('w1', 0), createWorker('w2', 2)];
  const fleet = openFleet({servers: () => servers, workers: client});
  const tasks = [
    ...createWorkerTasks('s/a', 20, {
      processors: 3,
      memoryMb: 10,
      accelerators: 0,
    }),
    ...createWorkerTasks('s/b', 5, {
      processors: 1,
      memoryMb: 10,
      accelerators: 1,
    }),
  ];
  const [owner] = fleet.placements;
  assert.ok(owner?.enqueue(tasks, readClock()).isOk());
  await waitUntil(() => tasks.every(({id}) => fleet.ends.has(id)));
  await fleet.close();
  for (const {id} of tasks)
    assert.equal(codeOf(fleet.ends.get(id)?.[0]), 'done');
  assert.equal(started.length, tasks.length);
  assert.ok(peak.processors <= 8, `${peak.processors} processors`);
  const accelerated = started.filter(([task]) => task.startsWith('s/b'));
  assert.ok(accelerated.every(([, worker]) => worker === 'w2'));
});

test('reserves more memory for a kind that uses more than declared', async () => {
  const {client, peak} = createWorkers(500);
  const fleet = openFleet({
    servers: () => [createWorker('w1', 0)],
    workers: client,
  });
  const [owner] = fleet.placements;
  const needs = {processors: 1, memoryMb: 10, accelerators: 0};
  const run = async (job: string, count: number) => {
    const tasks = createWorkerTasks(job, count, needs);
    assert.ok(owner?.enqueue(tasks, readClock()).isOk());
    await waitUntil(() => tasks.every(({id}) => fleet.ends.has(id)));
  };
  await run('s/a', 1);
  peak.tasks = 0;
  await run('s/b', 20);
  await fleet.close();
  // The first run measured 500 MB; the worker has 1,000 MB.
  assert.equal(peak.tasks, 2);
});
