import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {after, before, describe, test} from 'node:test';
import {createClient, type Client} from '@goldcrestpier/client';
import type {
  EffectiveView,
  FleetInstances,
  FleetJobs,
  SettingsHistory,
} from '@goldcrestpier/operators';
import {JobState} from '@goldcrestpier/protocol';
import {Lifecycle, sleep} from '@goldcrestpier/runtime';
import {launchCluster, planZones, type Cluster} from '@goldcrestpier/standins';
import {ExitCode} from '../src/index.js';
import {runBinary, type Ended} from './run_binary.js';

const POLL_MS = 50;
const POLLS = 400;
const lifecycle = new Lifecycle('ctl test');
let cluster: Cluster;
let client: Client;

before(async () => {
  const zones = planZones({
    zones: ['batangas-1', 'batangas-2'],
    entriesPerZone: 1,
    runnersPerZone: 1,
  });
  cluster = await launchCluster({zones}, lifecycle);
  client = createClient({origin: cluster.entry('e1-1').url});
  lifecycle.own('client', () => client.close());
});
after(async () => {
  await lifecycle.close();
});

/** Runs a command line at one entry instance. */
function ctl(entry: string, line: string): Promise<Ended> {
  const {addresses, operatorsToken} = cluster.entry(entry);
  const token = join(cluster.folder, 'token');
  writeFileSync(token, operatorsToken);
  return runBinary(line.split(' '), {
    GOLDCRESTPIER_INSTANCE: `http://${addresses.operators}`,
    GOLDCRESTPIER_TOKEN_FILE: token,
  });
}

async function read<Answer>(entry: string, line: string): Promise<Answer> {
  const {stdout} = await ctl(entry, `${line} --json`);
  return JSON.parse(stdout) as Answer;
}

async function waitUntil(holds: () => Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < POLLS; polls += 1) {
    if (await holds()) return;
    await sleep(POLL_MS);
  }
  assert.fail('waited in vain');
}

describe('goldcrestpierctl at real instances', () => {
  test('an edit at one instance is in force at the other', async () => {
    const added = await ctl('e1-1', 'settings add /invoicing service');
    assert.equal(added.exitCode, ExitCode.Success, added.stderr);
    const set = await ctl('e1-1', 'settings set / retry.max_starts 5');
    assert.equal(set.exitCode, ExitCode.Success, set.stderr);
    const line = 'settings effective /invoicing';
    await waitUntil(async () => {
      const {values} = await read<Partial<EffectiveView>>('e2-1', line);
      const found = values?.find(({key}) => key === 'retry.max_starts');
      return found?.value === 5 && found.from === '/';
    });
  });

  test('of two edits of one revision one loses and sees the other', async () => {
    const edit = 'settings set / queue.max_waiting';
    const ended = await Promise.all([
      ctl('e1-1', `${edit} 100 --revision 2 --by rosa`),
      ctl('e2-1', `${edit} 200 --revision 2 --by turi`),
    ]);
    const codes = ended.map(each => ExitCode[each.exitCode]).sort();
    assert.deepEqual(codes, ['Conflict', 'Success']);
    const lost = ended.find(({stderr}) => stderr !== '');
    assert.match(lost?.stderr ?? '', /mine \(not written\):[^]*max_waiting/);
    assert.match(lost?.stderr ?? '', /theirs \(revision 3, by (rosa|turi)/);
  });

  test('an edit whose answers are lost is made once', async () => {
    const {keyValue} = cluster.platform;
    await keyValue.setFaults({loseAnswers: 1});
    await ctl('e1-1', 'settings set / retry.max_starts 7');
    await keyValue.setFaults({});
    const {edits} = await read<SettingsHistory>('e1-1', 'settings history');
    const made = edits.filter(({changes}) =>
      changes.some(({after}) => JSON.stringify(after) === '7'),
    );
    assert.equal(made.length, 1);
  });

  test('while the platform is out, reads go on and an edit is refused', async () => {
    await cluster.setPlatformDown(true);
    const line = 'settings effective /invoicing';
    const shown = await ctl('e1-1', line);
    assert.equal(shown.exitCode, ExitCode.Success, shown.stderr);
    const refused = await ctl('e1-1', 'settings set / retry.max_starts 9');
    assert.equal(refused.exitCode, ExitCode.Refused);
    assert.match(refused.stderr, /platform_unavailable/);
    await cluster.setPlatformDown(false);
  });

  test('a job is listed and cancelled through another instance', async () => {
    const payload = {runMs: 20_000};
    const tasks = [{service: 'invoicing', payload}];
    const submitted = client.submit({tasks}, {key: 'long'});
    let name = '';
    await waitUntil(async () => {
      const {jobs} = await read<FleetJobs>('e2-1', 'jobs list --state running');
      const [job] = jobs;
      if (job !== undefined) name = `${job.session}/${job.key}`;
      return job !== undefined;
    });
    const cancelled = await ctl('e2-1', `jobs cancel ${name}`);
    assert.equal(cancelled.exitCode, ExitCode.Success, cancelled.stderr);
    const answer = (await submitted).unwrap();
    assert.equal(answer.state, JobState.Failed);
    assert.equal(answer.failure?.code, 'cancelled');
  });

  test('servers and instances are gathered; a dead one is missing', async () => {
    const servers = await ctl('e1-1', 'servers');
    assert.equal(servers.exitCode, ExitCode.Success, servers.stderr);
    assert.match(servers.stdout, /^r1-1 [^]*^r2-1 /m);
    const {instances} = await read<FleetInstances>('e1-1', 'instances');
    assert.deepEqual(
      instances.map(({instance, reached}) => [instance, reached]).sort(),
      [
        ['e1-1', true],
        ['e2-1', true],
      ],
    );
    await cluster.entry('e2-1').kill();
    const partial = await ctl('e1-1', 'jobs list');
    assert.equal(partial.exitCode, ExitCode.Partial);
    assert.match(partial.stderr, /batangas-2\.e2-1\./);
  });

  test('drain ends the process as a planned stop does', async () => {
    const drained = await ctl('e1-1', 'drain');
    assert.equal(drained.exitCode, ExitCode.Success, drained.stderr);
    assert.match(drained.stdout, /is leaving; 0 jobs have yet to end/);
    assert.equal((await cluster.entry('e1-1').process.exited).code, 0);
  });
});
