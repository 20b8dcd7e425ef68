import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, beforeEach, describe, test} from 'node:test';
import {EditKind} from '@goldcrestpier/settings';
import {openSnapshots} from '@goldcrestpier/testing';
import {ExitCode} from '../src/index.js';
import {FakeInstance, JOB_ID, TOKEN} from './fake_instance.js';
import {runBinary, type ProcessResult} from './run_binary.js';

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

/** Runs a command line whose arguments are separated by spaces. */
function runCtl(
  commandLine: string,
  overrides: NodeJS.ProcessEnv = {},
): Promise<ProcessResult> {
  return runBinary(commandLine.split(' '), {...environment, ...overrides});
}

function matchSnapshot(name: string, result: ProcessResult): void {
  const hideVariableParts = (text: string) =>
    text.replaceAll(directory, 'DIRECTORY').replaceAll(origin, 'INSTANCE');
  const {exitCode, stdout, stderr} = result;
  const text = `exit code: ${ExitCode[exitCode]}\n${stdout}--\n${stderr}`;
  snapshots.match(name, hideVariableParts(text));
}

const printedCases: ReadonlyArray<[string, ExitCode]> = [
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
  [`jobs show ${JOB_ID}`, ExitCode.Success],
  [`jobs cancel ${JOB_ID}`, ExitCode.Success],
  ['jobs show a.b.c.1/unknown', ExitCode.NotFound],
  ['jobs show unknown --json', ExitCode.Usage],
  ['instances', ExitCode.Partial],
  ['servers', ExitCode.Success],
  ['drain', ExitCode.Success],
  ['settings fly', ExitCode.Usage],
  ['settings set billing', ExitCode.Usage],
  ['jobs list --colour', ExitCode.Usage],
];
// These commands change nothing, so they can run concurrently.
describe('printed output', {concurrency: 3}, () => {
  for (const [line, exitCode] of printedCases) {
    test(`"${line}" prints the output in its snapshot`, async () => {
      const result = await runCtl(line);
      matchSnapshot(line, result);
      assert.equal(result.exitCode, exitCode);
    });
  }
});

const targetCases: ReadonlyArray<[string, NodeJS.ProcessEnv, ExitCode]> = [
  ['no instance', {GOLDCRESTPIER_INSTANCE: undefined}, ExitCode.Usage],
  ['a bad instance', {GOLDCRESTPIER_INSTANCE: 'e1:7002'}, ExitCode.Usage],
  ['no token', {GOLDCRESTPIER_TOKEN_FILE: undefined}, ExitCode.Usage],
  ['a missing token', {GOLDCRESTPIER_TOKEN_FILE: '/no/token'}, ExitCode.Usage],
  [
    'no listener',
    {GOLDCRESTPIER_INSTANCE: 'http://127.0.0.1:1'},
    ExitCode.Unreachable,
  ],
];
for (const [name, overrides, exitCode] of targetCases) {
  test(`${name} is reported with the expected value`, async () => {
    const result = await runCtl('servers', overrides);
    matchSnapshot(name, result);
    assert.equal(result.exitCode, exitCode);
  });
}

test('a file without a valid token is reported as a usage error', async () => {
  const file = writeFile('lines', 'one\ntwo');
  const result = await runCtl(`servers --token-file ${file}`);
  assert.equal(result.exitCode, ExitCode.Usage);
  matchSnapshot('no token in the file', result);
});

test('a wrong token is refused', async () => {
  const file = writeFile('wrong', 'another token');
  const result = await runCtl(`servers --token-file ${file}`);
  assert.equal(result.exitCode, ExitCode.Unauthorized);
  matchSnapshot('a wrong token', result);
});

test('edits are written and listed in the diff and the history with their author', async () => {
  const set = await runCtl('settings set / retry.max_starts 2 --by lucia');
  matchSnapshot('a written edit', set);
  assert.equal(set.exitCode, ExitCode.Success);
  await runCtl('settings unset /billing/quotes fairness.quotas.clerks');
  await runCtl('settings add /billing/tags service');
  await runCtl('settings remove /billing/quotes');
  matchSnapshot('a diff', await runCtl('settings diff 1'));
  matchSnapshot('a history', await runCtl('settings history --limit 2'));
  const authors = instance.settings.edits.map(({by}) => by);
  assert.deepEqual(authors, ['rosa', 'rosa', 'rosa', 'lucia', 'setup']);
});

test('a conflicting edit fails and shows the changes of both edits', async () => {
  const key = 'retry.max_starts';
  instance.settings.beforeEdit = () =>
    instance.editAs('turi', [{kind: EditKind.Set, node: '/', key, value: 5}]);
  const result = await runCtl('settings set / retry.max_starts 2');
  assert.equal(result.exitCode, ExitCode.Conflict);
  matchSnapshot('a conflict', result);
  assert.equal(instance.settings.tree.forRoot().retry.maxStarts, 5);
  const json = await runCtl(
    'settings set / retry.max_starts 2 --revision 1 --json',
  );
  assert.equal(json.exitCode, ExitCode.Conflict);
  matchSnapshot('a conflict as JSON', json);
});

test('an edit is resent after a lost response and is made once', async () => {
  instance.dropsNextEditResponse = true;
  const result = await runCtl('settings set / retry.max_starts 2');
  assert.match(result.stdout, /^written as revision 2\n/);
  assert.equal(instance.settings.edits.length, 2);
});

test('a tree is exported to a file, changed and applied at its revision', async () => {
  const {stdout} = await runCtl('settings get --toml');
  const text = stdout.replace('max_starts = 4', 'max_starts = 6');
  const file = writeFile('tree.toml', text);
  const applied = await runCtl(`settings apply ${file}`);
  matchSnapshot('an applied file', applied);
  assert.equal(instance.settings.tree.forRoot().retry.maxStarts, 6);
  const again = await runCtl(`settings apply ${file}`);
  assert.equal(again.exitCode, ExitCode.Conflict);
});

test('an invalid file is refused with the position of the error and not sent', async () => {
  const file = writeFile('bad.toml', 'queue = \n');
  const result = await runCtl(`settings apply ${file}`);
  matchSnapshot('an invalid file', result);
  assert.equal(result.exitCode, ExitCode.Invalid);
});
