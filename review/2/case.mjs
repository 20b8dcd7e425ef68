/**
 * A client of each zone sends a job of many small tasks, and again when it gets
 * no answer. Checks that processes don't end by themselves: the rule is broken
 * when that happens three times on two of the six machines.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createRoute, newId, runCase, sleep} from '../lib/cluster.mjs';

const TASKS = 10_000;
const TASK_MS = 60;
/** All tasks of a job need 200 of the 256 processors of a zone. */
const TASK_CPU = 20;
const LENGTH_MS = 100_000;
/** A process that ended is started again this long afterwards. */
const RESTART_MS = 500;
/** Time between two jobs of a client. */
const PAUSE_MS = 1_000;
const ORDINARY_INTERVAL_MS = 250;
const MIN_ENDS = 3;
const MIN_MACHINES = 2;

const options = {
  folder: dirname(fileURLToPath(import.meta.url)),
  zones: ['batangas-a', 'batangas-b', 'calaca-c'],
  workersEach: 4,
  instancesEach: 2,
};

await runCase(options, async (cluster, hasTrouble) => {
  await cluster.start([createRoute('check'), createRoute('quote')]);
  const ends = new Map(cluster.instances.map(({name}) => [name, 0]));
  const until = Date.now() + LENGTH_MS;
  const isOver = () => Date.now() >= until || countBroken(ends) >= MIN_MACHINES;
  for (const zone of cluster.zones) {
    void sendOrdinary(cluster, zone, isOver);
    if (hasTrouble) void sendLarge(cluster, zone, isOver);
  }
  while (!isOver()) {
    await sleep(100);
    for (const instance of cluster.instances) {
      if (instance.isUp || instance.isRestarting) continue;
      ends.set(instance.name, ends.get(instance.name) + 1);
      void restart(cluster, instance);
    }
  }
  for (const [name, count] of ends)
    cluster.record(`${name} ended by itself ${count} times`);
  if (countBroken(ends) < MIN_MACHINES) return undefined;
  return `Fault: processes ended by themselves ${MIN_ENDS} times on ${MIN_MACHINES} machines`;
});

function countBroken(ends) {
  return [...ends.values()].filter(count => count >= MIN_ENDS).length;
}

async function restart(cluster, instance) {
  instance.isRestarting = true;
  await sleep(RESTART_MS);
  cluster.record(`${instance.name} is started again`);
  cluster.startInstance(instance);
  instance.isRestarting = false;
}

/** Sends one large job after the other, each until it has an answer. */
async function sendLarge(cluster, zone, isOver) {
  const spec = JSON.stringify({ms: TASK_MS, cpu: TASK_CPU});
  const step = {
    count: TASKS,
    cpu: TASK_CPU,
    mem_mb: 1,
    estimate_ms: TASK_MS,
  };
  const body = {spec, steps: [step], best_effort: true};
  while (!isOver()) {
    const path = `/quote/${newId()}`;
    await cluster.submit(findReady(cluster, zone), path, body);
    await sleep(PAUSE_MS);
  }
}

/** Sends ordinary jobs, to see that the deployment serves them. */
async function sendOrdinary(cluster, zone, isOver) {
  const spec = JSON.stringify({ms: TASK_MS, cpu: 2_000});
  const step = {count: 2, cpu: 2_000, mem_mb: 64, estimate_ms: TASK_MS};
  const body = {spec, steps: [step], best_effort: true};
  while (!isOver()) {
    const path = `/check/${newId()}`;
    void cluster.submit(findReady(cluster, zone), path, body, {attempts: 1});
    await sleep(ORDINARY_INTERVAL_MS);
  }
}

function findReady({instances}, zone) {
  const inZone = instances.filter(each => each.zone === zone);
  const up = inZone.filter(({isUp}) => isUp);
  return up.length > 0 ? up : inZone;
}
