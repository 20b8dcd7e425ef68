/** Commands that read the settings. */
import {
  effectiveViewSchema,
  settingsDiffSchema,
  settingsHistorySchema,
  settingsViewSchema,
  type SettingsView,
} from '@goldcrestpier/operators';
import {
  createFailure,
  FailureCode,
  type SettingsChange,
} from '@goldcrestpier/protocol';
import {formatDocument, SettingsTree} from '@goldcrestpier/settings';
import {Ok, type Result} from 'ts-results-es';
import type {OperatorsCalls} from '../calls/index.js';
import {ProblemKind, type CtlProblem} from '../failures/index.js';
import {
  flattenValues,
  formatValue,
  renderChanges,
  renderTable,
} from '../output/index.js';
import type {CommandResult} from './command.js';

/** `settings get [NODE]` */
export async function getSettings(
  calls: OperatorsCalls,
  node: string | undefined,
  asToml: boolean,
): CommandResult {
  const query = {node};
  const answer = await calls.call('GET', 'settings', settingsViewSchema, {
    query,
  });
  return answer.andThen(data => {
    const text = asToml ? formatToml(data) : Ok(renderView(data));
    return text.map(each => ({data, text: each}));
  });
}

function renderView({revision, nodes}: SettingsView): string {
  const rows = Object.entries(nodes).flatMap(([path, {kind, values}]) => {
    const leaves = flattenValues(values);
    if (leaves.length === 0) return [[path, kind, '-', '-']];
    return leaves.map(({key, value}) => [path, kind, key, formatValue(value)]);
  });
  const table = renderTable(['NODE', 'KIND', 'KEY', 'VALUE'], rows);
  return `revision ${revision}\n${table}`;
}

/** The document that `settings apply` reads; of a whole tree only. */
function formatToml(view: SettingsView): Result<string, CtlProblem> {
  return SettingsTree.fromSnapshot(view)
    .map(formatDocument)
    .mapErr(problems => ({
      kind: ProblemKind.Refused,
      failure: createFailure(FailureCode.SettingsInvalid, {problems}),
    }));
}

/** `settings effective NODE` */
export async function getEffective(
  calls: OperatorsCalls,
  node: string,
): CommandResult {
  const query = {node};
  const answer = await calls.call(
    'GET',
    'settings/effective',
    effectiveViewSchema,
    {query},
  );
  return answer.map(data => {
    const rows = data.values.map(({key, value, from}) => [
      key,
      formatValue(value),
      from ?? '(default)',
    ]);
    const table = renderTable(['KEY', 'VALUE', 'FROM'], rows);
    return {data, text: `revision ${data.revision}\n${table}`};
  });
}

/** `settings history` */
export async function getHistory(
  calls: OperatorsCalls,
  limit: string | undefined,
): CommandResult {
  const answer = await calls.call(
    'GET',
    'settings/history',
    settingsHistorySchema,
    {query: {limit}},
  );
  return answer.map(data => ({
    data,
    text: renderTable(
      ['REVISION', 'WRITTEN', 'BY', 'CHANGES'],
      data.edits.map(({revision, at, by, changes, omitted}) => [
        String(revision),
        at,
        by,
        listChanges(changes, omitted),
      ]),
    ),
  }));
}

/** `settings diff FROM [TO]` */
export async function getDiff(
  calls: OperatorsCalls,
  from: string,
  to: string | undefined,
): CommandResult {
  const query = {from, to};
  const answer = await calls.call('GET', 'settings/diff', settingsDiffSchema, {
    query,
  });
  return answer.map(data => {
    const {from: older, to: newer, changes, omitted} = data;
    const table = renderChanges(changes, omitted);
    return {data, text: `revision ${older} to ${newer}\n${table}`};
  });
}

/** One change a line, as in `/billing retry.max_starts: 3 -> 2`. */
function listChanges(
  changes: readonly SettingsChange[],
  omitted: number,
): string {
  const lines = changes.map(
    ({node, key, before, after}) =>
      `${node} ${key}: ${formatValue(before)} -> ${formatValue(after)}`,
  );
  if (omitted > 0) lines.push(`and ${omitted} more`);
  return lines.join('\n');
}
