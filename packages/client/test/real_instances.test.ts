import assert from 'node:assert/strict';
import {after, before, describe, test} from 'node:test';
import {JobState, RunStatus, type JobAnswer} from '@goldcrestpier/protocol';
import {Lifecycle, sleep} from '@goldcrestpier/runtime';
import {
  CLIENTS,
  countDuplicateStarts,
  PartitionKind,
  launchCluster,
  planZones,
  type Cluster,
} from '@goldcrestpier/standins';
import {createClient, type Client} from '../src/index.js';

const ZONES = ['batangas-1', 'batangas-2'];
const CUT_COUNT = 3;
const CUT_DURATION_MS = 150;
const lifecycle = new Lifecycle('client test');
let cluster: Cluster;

before(async () => {
  const zones = planZones({
    zones: ZONES,
    entriesPerZone: 1,
    runnersPerZone: 2,
  });
  cluster = await launchCluster({zones, isRelayed: true}, lifecycle);
});
after(async () => {
  await lifecycle.close();
});

function connect(entry: string): Client {
  return closeWithLifecycle(createClient({origin: cluster.entry(entry).url}));
}

function closeWithLifecycle(client: Client): Client {
  lifecycle.own('client', () => client.close());
  return client;
}

/** A job of three tasks, each echoing the job's key and its own index. */
function createJob(key: string, runMs: number) {
  const payload = (index: number) => ({runMs, echo: `${key}/${index}`});
  return {
    tasks: [0, 1, 2].map(index => ({
      service: 'invoicing',
      payload: payload(index),
    })),
  };
}

function checkWholeAnswer(answer: JobAnswer): boolean {
  assert.equal(answer.state, JobState.Complete, JSON.stringify(answer));
  const echoes = answer.tasks.map(
    ({result}) => (result as {readonly echo: unknown}).echo,
  );
  const own = [0, 1, 2].map(index => `${answer.key}/${index}`);
  assert.deepEqual(echoes, own);
  return true;
}

async function countStarts(prefix: string): Promise<number> {
  const starts = await cluster.readStarts();
  assert.deepEqual(countDuplicateStarts(starts), new Map());
  return starts.filter(({job}) => job.includes(`/${prefix}-`)).length;
}

function submitMany(
  client: Client,
  prefix: string,
  jobs: number,
  runMs: number,
) {
  return Promise.all(
    Array.from({length: jobs}, (_, index) => {
      const key = `${prefix}-${index}`;
      return client.submit(createJob(key, runMs), {key, deadlineMs: 30_000});
    }),
  );
}

describe('a client over real entry instances', () => {
  test('returns each job whole and starts each task once', async () => {
    const answers = await submitMany(connect('e1-1'), 'plain', 40, 10);
    assert.ok(answers.every(answer => checkWholeAnswer(answer.unwrap())));
    assert.equal(await countStarts('plain'), 120);
  });

  test('returns each job whole and starts each task once, across network cuts', async () => {
    const submitted = submitMany(connect('e1-1'), 'cut', 20, 200);
    for (let cut = 0; cut < CUT_COUNT; cut += 1) {
      await sleep(CUT_DURATION_MS);
      cluster.network.partition(CLIENTS, 'batangas-1', PartitionKind.Closed);
      await sleep(CUT_DURATION_MS);
      cluster.network.heal(CLIENTS, 'batangas-1');
    }
    const answers = await submitted;
    assert.ok(answers.every(answer => checkWholeAnswer(answer.unwrap())));
    assert.equal(await countStarts('cut'), 60);
  });

  test('reads a job through an instance of another zone', async () => {
    const here = connect('e1-1');
    const submitted = await here.submit(createJob('far', 5), {key: 'far'});
    const {session, key} = submitted.unwrap();
    const read = await connect('e2-1').read({session, key});
    assert.ok(checkWholeAnswer(read.unwrap()));
  });

  test('cancels a running job', async () => {
    const controller = new AbortController();
    const {signal} = controller;
    const client = connect('e1-1');
    const options = {key: 'stopped-1', signal};
    const submitted = client.submit(createJob('stopped-1', 5_000), options);
    while ((await countStarts('stopped')) === 0) await sleep(10);
    controller.abort();
    const answer = (await submitted).unwrap();
    assert.equal(answer.state, JobState.Failed);
    assert.equal(answer.failure?.code, 'cancelled');
  });

  test('loses no answer in a graceful stop and reports what was not run', async () => {
    const {addresses} = cluster.entry('e2-1');
    // Without the relay, which accepts connections for a stopped instance too.
    const client = closeWithLifecycle(
      createClient({origin: `http://${addresses.directCallers}`}),
    );
    const submitted = submitMany(client, 'stop', 30, 300);
    while ((await countStarts('stop')) < 10) await sleep(10);
    const stopped = cluster.entry('e2-1').stop();
    const answers = await submitted;
    const accepted = answers.filter(answer => answer.isOk());
    assert.ok(accepted.length > 0);
    assert.ok(accepted.every(answer => checkWholeAnswer(answer.value)));
    // Submitted after the stop began, so none of their tasks was started.
    const refused = answers.filter(answer => answer.isErr());
    assert.ok(refused.every(answer => answer.error.ran === RunStatus.NotRun));
    assert.equal(await countStarts('stop'), accepted.length * 3);
    assert.equal((await stopped).code, 0);
    const options = {key: 'late-1', deadlineMs: 1_000};
    const late = await client.submit(createJob('late-1', 5), options);
    assert.equal(late.unwrapErr().ran, RunStatus.NotRun);
    assert.equal(await countStarts('late'), 0);
  });
});
