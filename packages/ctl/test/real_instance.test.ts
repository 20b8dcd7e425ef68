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
import {runBinary, type ProcessResult} from './run_binary.js';

const POLL_INTERVAL_MS = 50;
const MAX_POLLS = 400;
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

/** Runs a command line against one entry instance. */
function runCtl(entry: string, commandLine: string): Promise<ProcessResult> {
  const {addresses, operatorsToken} = cluster.entry(entry);
  const token = join(cluster.folder, 'token');
  writeFileSync(token, operatorsToken);
  return runBinary(commandLine.split(' '), {
    GOLDCRESTPIER_INSTANCE: `http://${addresses.operators}`,
    GOLDCRESTPIER_TOKEN_FILE: token,
  });
}

async function readJson<Answer>(
  entry: string,
  commandLine: string,
): Promise<Answer> {
  const {stdout} = await runCtl(entry, `${commandLine} --json`);
  return JSON.parse(stdout) as Answer;
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (await condition()) return;
    await sleep(POLL_INTERVAL_MS);
  }
  assert.fail('the condition was not met in time');
}

describe('goldcrestpierctl at real instances', () => {
  test('an edit at one instance takes effect at the other', async () => {
    const added = await runCtl('e1-1', 'settings add /invoicing service');
    assert.equal(added.exitCode, ExitCode.Success, added.stderr);
    const set = await runCtl('e1-1', 'settings set / retry.max_starts 5');
    assert.equal(set.exitCode, ExitCode.Success, set.stderr);
    const line = 'settings effective /invoicing';
    await waitUntil(async () => {
      const {values} = await readJson<Partial<EffectiveView>>('e2-1', line);
      const found = values?.find(({key}) => key === 'retry.max_starts');
      return found?.value === 5 && found.from === '/';
    });
  });

  test('one of two edits of the same revision fails and is shown the other', async () => {
    const edit = 'settings set / queue.max_waiting';
    const results = await Promise.all([
      runCtl('e1-1', `${edit} 100 --revision 2 --by rosa`),
      runCtl('e2-1', `${edit} 200 --revision 2 --by turi`),
    ]);
    const codes = results.map(each => ExitCode[each.exitCode]).sort();
    assert.deepEqual(codes, ['Conflict', 'Success']);
    const lost = results.find(({stderr}) => stderr !== '');
    assert.match(lost?.stderr ?? '', /mine \(not written\):[^]*max_waiting/);
    assert.match(lost?.stderr ?? '', /theirs \(revision 3, by (rosa|turi)/);
  });

  test('an edit whose platform responses are lost is made once', async () => {
    const {keyValue} = cluster.platform;
    await keyValue.setFaults({loseAnswers: 1});
    await runCtl('e1-1', 'settings set / retry.max_starts 7');
    await keyValue.setFaults({});
    const {edits} = await readJson<SettingsHistory>('e1-1', 'settings history');
    const made = edits.filter(({changes}) =>
      changes.some(({after}) => JSON.stringify(after) === '7'),
    );
    assert.equal(made.length, 1);
  });

  test('during a platform outage settings can be read but not edited', async () => {
    await cluster.setPlatformDown(true);
    const line = 'settings effective /invoicing';
    const shown = await runCtl('e1-1', line);
    assert.equal(shown.exitCode, ExitCode.Success, shown.stderr);
    const refused = await runCtl('e1-1', 'settings set / retry.max_starts 9');
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
      const {jobs} = await readJson<FleetJobs>(
        'e2-1',
        'jobs list --state running',
      );
      const [job] = jobs;
      if (job !== undefined) name = `${job.session}/${job.key}`;
      return job !== undefined;
    });
    const cancelled = await runCtl('e2-1', `jobs cancel ${name}`);
    assert.equal(cancelled.exitCode, ExitCode.Success, cancelled.stderr);
    const answer = (await submitted).unwrap();
    assert.equal(answer.state, JobState.Failed);
    assert.equal(answer.failure?.code, 'cancelled');
  });

  test('servers and instances are listed, and a killed instance is reported missing', async () => {
    const servers = await runCtl('e1-1', 'servers');
    assert.equal(servers.exitCode, ExitCode.Success, servers.stderr);
    assert.match(servers.stdout, /^r1-1 [^]*^r2-1 /m);
    const {instances} = await readJson<FleetInstances>('e1-1', 'instances');
    assert.deepEqual(
      instances.map(({instance, reached}) => [instance, reached]).sort(),
      [
        ['e1-1', true],
        ['e2-1', true],
      ],
    );
    await cluster.entry('e2-1').kill();
    const partial = await runCtl('e1-1', 'jobs list');
    assert.equal(partial.exitCode, ExitCode.Partial);
    assert.match(partial.stderr, /batangas-2\.e2-1\./);
  });

  test('drain starts a planned stop, and the process exits with code 0', async () => {
    const drained = await runCtl('e1-1', 'drain');
    assert.equal(drained.exitCode, ExitCode.Success, drained.stderr);
    assert.match(drained.stdout, /is leaving; 0 jobs have yet to end/);
    assert.equal((await cluster.entry('e1-1').process.exited).code, 0);
  });
});
