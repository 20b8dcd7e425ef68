import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, beforeEach, describe, test} from 'node:test';
import {ChangeKind} from '@goldcrestpier/operators';
import {openSnapshots} from '@goldcrestpier/testing';
import {ExitCode} from '../src/index.js';
import {FakeInstance, JOB, TOKEN} from './fake_instance.js';
import {runBinary, type Ended} from './run_binary.js';

const snapshots = openSnapshots(import.meta.url);
const instance = new FakeInstance();
let directory: string;
let origin: string;
let environment: NodeJS.ProcessEnv;

before(async () => {
  directory = mkdtempSync(join(tmpdir(), 'goldcrestpierctl-'));
  origin = await instance.listen();
  environment = {
    GOLDCRESTPIER_INSTANCE: origin,
    GOLDCRESTPIER_TOKEN_FILE: writeFile('token', `${TOKEN}\n`),
  };
});
beforeEach(() => instance.reset());
after(() => {
  instance.close();
  rmSync(directory, {recursive: true});
});

function writeFile(name: string, text: string): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

/** Runs a command line whose words are parted by blanks. */
function ctl(line: string, changed: NodeJS.ProcessEnv = {}): Promise<Ended> {
  return runBinary(line.split(' '), {...environment, ...changed});
}

function match(line: string, ended: Ended): void {
  const hide = (text: string) =>
    text.replaceAll(directory, 'DIRECTORY').replaceAll(origin, 'INSTANCE');
  const {exitCode, stdout, stderr} = ended;
  const text = `exit code: ${ExitCode[exitCode]}\n${stdout}--\n${stderr}`;
  snapshots.match(line, hide(text));
}

const shown: ReadonlyArray<[string, ExitCode]> = [
  ['--help', ExitCode.Success],
  ['settings set --help', ExitCode.Success],
  ['settings apply --help', ExitCode.Success],
  ['jobs list --help', ExitCode.Success],
  ['--version', ExitCode.Success],
  ['settings get', ExitCode.Success],
  ['settings get billing/quotes --json', ExitCode.Success],
  ['settings get nowhere', ExitCode.NotFound],
  ['settings effective billing/quotes', ExitCode.Success],
  ['settings history', ExitCode.Success],
  ['settings history --limit none', ExitCode.Invalid],
  ['settings set billing/quotes retry.maxStarts two', ExitCode.Invalid],
  [
    'settings set billing/quotes retry.maxStarts 2 --revision x',
    ExitCode.Usage,
  ],
  ['settings apply missing.toml', ExitCode.Usage],
  ['jobs list', ExitCode.Partial],
  ['jobs list --team billing --json', ExitCode.Partial],
  ['jobs list --state waiting', ExitCode.Usage],
  [`jobs show ${JOB}`, ExitCode.Success],
  [`jobs cancel ${JOB}`, ExitCode.Success],
  ['jobs show a.b.c.1/unknown', ExitCode.NotFound],
  ['jobs show unknown --json', ExitCode.Usage],
  ['instances', ExitCode.Partial],
  ['servers', ExitCode.Success],
  ['drain', ExitCode.Success],
  ['settings fly', ExitCode.Usage],
  ['settings set billing', ExitCode.Usage],
  ['jobs list --colour', ExitCode.Usage],
];
// Nothing is written by these, so that they may run side by side.
describe('what is printed', {concurrency: 3}, () => {
  for (const [line, exitCode] of shown) {
    test(`"${line}" prints what its snapshot says`, async () => {
      const ended = await ctl(line);
      match(line, ended);
      assert.equal(ended.exitCode, exitCode);
    });
  }
});

const misdirected: ReadonlyArray<[string, NodeJS.ProcessEnv, ExitCode]> = [
  ['no instance', {GOLDCRESTPIER_INSTANCE: undefined}, ExitCode.Usage],
  ['a bad instance', {GOLDCRESTPIER_INSTANCE: 'e1:7002'}, ExitCode.Usage],
  ['no token', {GOLDCRESTPIER_TOKEN_FILE: undefined}, ExitCode.Usage],
  ['a missing token', {GOLDCRESTPIER_TOKEN_FILE: '/no/token'}, ExitCode.Usage],
  [
    'nobody listening',
    {GOLDCRESTPIER_INSTANCE: 'http://127.0.0.1:1'},
    ExitCode.Unreachable,
  ],
];
for (const [what, changed, exitCode] of misdirected) {
  test(`${what} is reported with what was expected`, async () => {
    const ended = await ctl('servers', changed);
    match(what, ended);
    assert.equal(ended.exitCode, exitCode);
  });
}

test('a wrong token is refused', async () => {
  const file = writeFile('wrong', 'another token');
  const ended = await ctl(`servers --token-file ${file}`);
  assert.equal(ended.exitCode, ExitCode.Unauthorized);
  match('a wrong token', ended);
});

test('an edit is written and shows in the difference', async () => {
  const set = await ctl('settings set / retry.maxStarts 2 --by lucia');
  assert.deepEqual(set, {
    exitCode: ExitCode.Success,
    stdout: 'written as revision 1\n',
    stderr: '',
  });
  assert.deepEqual(instance.editors, ['setup', 'lucia']);
  match('a difference', await ctl('settings diff 0'));
  await ctl('settings unset billing/quotes queue.maxWaiting');
  await ctl('settings remove billing/quotes');
  assert.deepEqual(instance.trees.at(-1), {'': {'retry.maxStarts': 2}});
});

test('a race is lost with both changes shown', async () => {
  instance.beforeEdit = () =>
    instance.write('turi', {
      kind: ChangeKind.Set,
      node: '',
      key: 'retry.maxStarts',
      value: 5,
    });
  const ended = await ctl('settings set / retry.maxStarts 2');
  assert.equal(ended.exitCode, ExitCode.Conflict);
  match('a lost race', ended);
  assert.equal(instance.trees.at(-1)?.['']?.['retry.maxStarts'], 5);
  const json = await ctl(
    'settings set / retry.maxStarts 2 --revision 0 --json',
  );
  assert.equal(json.exitCode, ExitCode.Conflict);
  match('a lost race as JSON', json);
});

test('a lost answer to an edit is found again by the id of the edit', async () => {
  instance.losesAnswer = true;
  const ended = await ctl('settings set / retry.maxStarts 2');
  assert.equal(ended.stdout, 'written as revision 1\n');
  assert.equal(instance.trees.length, 2);
});

test('a whole tree is applied from a file, and a broken one is not', async () => {
  const good = writeFile(
    'good.toml',
    '["billing/quotes".queue]\nmaxWaiting = 9',
  );
  assert.equal(
    (await ctl(`settings apply ${good}`)).exitCode,
    ExitCode.Success,
  );
  assert.deepEqual(instance.trees.at(-1), {
    'billing/quotes': {queue: {maxWaiting: 9}},
  });
  const bad = writeFile('bad.toml', 'queue = \n');
  match('a broken file', await ctl(`settings apply ${bad}`));
  match('a file that lost', await ctl(`settings apply ${good} --revision 0`));
});
