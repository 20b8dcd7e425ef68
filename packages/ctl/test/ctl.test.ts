import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, beforeEach, describe, test} from 'node:test';
import {EditKind} from '@goldcrestpier/settings';
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
  ['settings get --toml', ExitCode.Success],
  ['settings get /billing/quotes --json', ExitCode.Success],
  ['settings get /nowhere', ExitCode.NotFound],
  ['settings effective /billing/quotes', ExitCode.Success],
  ['settings history', ExitCode.Success],
  ['settings history --limit none', ExitCode.Invalid],
  ['settings diff 9', ExitCode.Invalid],
  ['settings set /billing/quotes retry.max_starts two', ExitCode.Invalid],
  ['settings set /billing/quotes retry.colour 2', ExitCode.Invalid],
  ['settings set / retry.max_starts 2 --revision x', ExitCode.Usage],
  ['settings add /billing/tags runner', ExitCode.Usage],
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

test('a file that holds no token is told apart from a wrong token', async () => {
  const file = writeFile('lines', 'one\ntwo');
  const ended = await ctl(`servers --token-file ${file}`);
  assert.equal(ended.exitCode, ExitCode.Usage);
  match('no token in the file', ended);
});

test('a wrong token is refused', async () => {
  const file = writeFile('wrong', 'another token');
  const ended = await ctl(`servers --token-file ${file}`);
  assert.equal(ended.exitCode, ExitCode.Unauthorized);
  match('a wrong token', ended);
});

test('edits are written, show in the difference and name their author', async () => {
  const set = await ctl('settings set / retry.max_starts 2 --by lucia');
  match('a written edit', set);
  assert.equal(set.exitCode, ExitCode.Success);
  await ctl('settings unset /billing/quotes fairness.quotas.clerks');
  await ctl('settings add /billing/tags service');
  await ctl('settings remove /billing/quotes');
  match('a difference', await ctl('settings diff 1'));
  match('a history', await ctl('settings history --limit 2'));
  const authors = instance.settings.edits.map(({by}) => by);
  assert.deepEqual(authors, ['rosa', 'rosa', 'rosa', 'lucia', 'setup']);
});

test('a race is lost with both changes shown', async () => {
  const key = 'retry.max_starts';
  instance.settings.beforeEdit = () =>
    instance.write('turi', [{kind: EditKind.Set, node: '/', key, value: 5}]);
  const ended = await ctl('settings set / retry.max_starts 2');
  assert.equal(ended.exitCode, ExitCode.Conflict);
  match('a lost race', ended);
  assert.equal(instance.settings.tree.forRoot().retry.maxStarts, 5);
  const json = await ctl(
    'settings set / retry.max_starts 2 --revision 1 --json',
  );
  assert.equal(json.exitCode, ExitCode.Conflict);
  match('a lost race as JSON', json);
});

test('a lost answer to an edit is found again by the id of the edit', async () => {
  instance.losesAnswer = true;
  const ended = await ctl('settings set / retry.max_starts 2');
  assert.match(ended.stdout, /^written as revision 2\n/);
  assert.equal(instance.settings.edits.length, 2);
});

test('a tree is written to a file, edited and applied at its revision', async () => {
  const {stdout} = await ctl('settings get --toml');
  const text = stdout.replace('max_starts = 4', 'max_starts = 6');
  const file = writeFile('tree.toml', text);
  const applied = await ctl(`settings apply ${file}`);
  match('an applied file', applied);
  assert.equal(instance.settings.tree.forRoot().retry.maxStarts, 6);
  const again = await ctl(`settings apply ${file}`);
  assert.equal(again.exitCode, ExitCode.Conflict);
});

test('a broken file is refused with the place, and nothing is sent', async () => {
  const file = writeFile('bad.toml', 'queue = \n');
  const ended = await ctl(`settings apply ${file}`);
  match('a broken file', ended);
  assert.equal(ended.exitCode, ExitCode.Invalid);
});
