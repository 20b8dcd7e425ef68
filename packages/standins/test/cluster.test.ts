import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import {before, describe, test} from 'node:test';
import {
  PartitionKind,
  InstanceState,
  launchCluster,
  planZones,
  type Cluster,
} from '../src/index.js';
import {findSourceProcess} from '../src/cluster/source_process.js';
import {createSend, openLifecycle, waitUntil} from './helpers.js';

const lifecycle = openLifecycle();
const send = createSend(lifecycle);

const zones = planZones({
  zones: ['batangas-1', 'batangas-2'],
  entriesPerZone: 1,
  runnersPerZone: 1,
  workersPerZone: 1,
});
const plan = {
  zones: zones.map((zone, index) => ({
    ...zone,
    entries: zone.entries.map(entry => ({...entry, startsLater: index > 0})),
  })),
  isRelayed: true,
  standinProcesses: 2,
};

/** Address and state of `name` in the first zone's list. */
async function findInFirstList(cluster: Cluster, name: string) {
  const [list] = cluster.platform.lists;
  const targets = (await list?.readTargets()) ?? [];
  const target = targets.find(({labels}) => labels.name === name);
  return {address: target?.targets[0] ?? '', state: target?.labels.state};
}

async function isReachable(address: string): Promise<boolean> {
  try {
    return (await send('GET', address, '/health')).status === 200;
  } catch {
    return false;
  }
}

/** State letter of a process in `/proc/{pid}/stat`; T is stopped. */
function readProcessState(pid: number | undefined): string | undefined {
  return readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.[0];
}

describe('a cluster of processes', () => {
  let cluster: Cluster;
  before(async () => {
    cluster = await launchCluster(plan, lifecycle);
  });

  test('runs a job, and its servers record the starts', async () => {
    const [entry] = cluster.entries;
    const address = entry?.addresses.callers ?? '';
    const opened = await send('POST', address, '/v1/sessions', {});
    const {session} = opened.body as {session: string};
    const path = `/v1/sessions/${session}/jobs/quotes?attempt=1&wait=20000`;
    const task = {service: 'invoicing', payload: {runMs: 5, echo: 1}};
    const answer = await send('PUT', address, path, {tasks: [task, task]});
    assert.equal((answer.body as {state: string}).state, 'complete');
    const starts = await cluster.readStarts();
    assert.deepEqual(
      starts.map(({job}) => job),
      [`${session}/quotes`, `${session}/quotes`],
    );
  });

  test('partitions a zone from the others and heals the partition', async () => {
    const own = await findInFirstList(cluster, 'r1-1');
    const other = await findInFirstList(cluster, 'r2-1');
    assert.equal(own.address, cluster.server('r1-1').address);
    assert.notEqual(other.address, cluster.server('r2-1').address);
    assert.ok(await isReachable(other.address));
    cluster.partitionZone('batangas-1', PartitionKind.Closed);
    assert.ok(await isReachable(own.address));
    assert.ok(!(await isReachable(other.address)));
    cluster.healZone('batangas-1');
    await waitUntil('it is reachable again', () => isReachable(other.address));
  });

  test('lists a leaving server as leaving, and no longer lists a removed one', async () => {
    await cluster.instanceLists.setState('r2-1', InstanceState.Leaving);
    assert.equal((await findInFirstList(cluster, 'r2-1')).state, 'leaving');
    await cluster.instanceLists.remove('r2-1');
    assert.equal((await findInFirstList(cluster, 'r2-1')).address, '');
  });

  test('pauses, resumes, kills and restarts an entry instance', async () => {
    const entry = cluster.entry('e1-1');
    entry.pause();
    await waitUntil('it is paused', () => readProcessState(entry.pid) === 'T');
    const answer = entry.isReady();
    entry.resume();
    assert.ok(await answer);
    assert.equal((await entry.kill()).signal, 'SIGKILL');
    assert.equal(entry.pid, undefined);
    await entry.start();
    assert.ok(await entry.isReady());
    assert.equal((await entry.stop()).code, 0);
    await cluster.startEntry('e1-1');
  });

  test('starts an entry instance that was launched during a platform outage', async () => {
    await cluster.setPlatformDown(true);
    const [list] = cluster.platform.lists;
    const readStatus = async () =>
      (await send('GET', list?.address ?? '', '/targets')).status;
    assert.equal(await readStatus(), 503);
    const late = cluster.entry('e2-1');
    assert.equal(late.pid, undefined);
    late.launch();
    await cluster.setPlatformDown(false);
    await late.waitUntilReady();
    assert.equal(await readStatus(), 200);
    const link = cluster.network.link('batangas-2', 'batangas-1');
    await waitUntil(
      'it connects to the other zone',
      () => link.connectionCount > 0,
    );
  });

  test('leaves no process and no folder behind after it closes', async () => {
    const {pid} = cluster.entry('e2-1').process;
    await cluster.close();
    assert.ok(!existsSync(cluster.folder));
    assert.throws(() => process.kill(pid, 0));
  });
});

test('the process that opened a connection is found', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [accepted] = (await once(server, 'connection')) as [Socket];
  const initPid = 1;
  const found = findSourceProcess(accepted, [initPid, process.pid]);
  assert.equal(found, process.pid);
  assert.equal(findSourceProcess(accepted, []), undefined);
  client.destroy();
  accepted.destroy();
  server.close();
});
