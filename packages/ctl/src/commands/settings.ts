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
import type {OperatorsClient} from '../calls/index.js';
import {ProblemKind, type CtlProblem} from '../failures/index.js';
import {
  flattenValues,
  formatValue,
  renderChanges,
  renderTable,
} from '../output/index.js';
import type {CommandResult} from './command.js';

/** Command `settings get [NODE]`. */
export async function getSettings(
  client: OperatorsClient,
  node: string | undefined,
  asToml: boolean,
): CommandResult {
  const query = {node};
  const response = await client.call('GET', 'settings', settingsViewSchema, {
    query,
  });
  return response.andThen(data => {
    const text = asToml ? formatToml(data) : Ok(renderView(data));
    return text.map(each => ({data, text: each}));
  });
}

function renderView({revision, nodes}: SettingsView): string {
  const rows = Object.entries(nodes).flatMap(([path, {kind, values}]) => {
    const entries = flattenValues(values);
    if (entries.length === 0) return [[path, kind, '-', '-']];
    return entries.map(({key, value}) => [path, kind, key, formatValue(value)]);
  });
  const table = renderTable(['NODE', 'KIND', 'KEY', 'VALUE'], rows);
  return `revision ${revision}\n${table}`;
}

/**
 * Formats the document that `settings apply` reads. The view must be that of the
 * whole tree.
 */
function formatToml(view: SettingsView): Result<string, CtlProblem> {
  return SettingsTree.fromSnapshot(view)
    .map(formatDocument)
    .mapErr(problems => ({
      kind: ProblemKind.Refused,
      failure: createFailure(FailureCode.SettingsInvalid, {problems}),
    }));
}

/** Command `settings effective NODE`. */
export async function getEffective(
  client: OperatorsClient,
  node: string,
): CommandResult {
  const query = {node};
  const response = await client.call(
    'GET',
    'settings/effective',
    effectiveViewSchema,
    {query},
  );
  return response.map(data => {
    const rows = data.values.map(({key, value, from}) => [
      key,
      formatValue(value),
      from ?? '(default)',
    ]);
    const table = renderTable(['KEY', 'VALUE', 'FROM'], rows);
    return {data, text: `revision ${data.revision}\n${table}`};
  });
}

/** Command `settings history`. */
export async function getHistory(
  client: OperatorsClient,
  limit: string | undefined,
): CommandResult {
  const response = await client.call(
    'GET',
    'settings/history',
    settingsHistorySchema,
    {query: {limit}},
  );
  return response.map(data => ({
    data,
    text: renderTable(
      ['REVISION', 'WRITTEN', 'BY', 'CHANGES'],
      data.edits.map(({revision, at, by, changes, omitted}) => [
        String(revision),
        at,
        by,
        renderChangeLines(changes, omitted),
      ]),
    ),
  }));
}

/** Command `settings diff FROM [TO]`. */
export async function getDiff(
  client: OperatorsClient,
  from: string,
  to: string | undefined,
): CommandResult {
  const query = {from, to};
  const response = await client.call(
    'GET',
    'settings/diff',
    settingsDiffSchema,
    {query},
  );
  return response.map(data => {
    const {from: older, to: newer, changes, omitted} = data;
    const table = renderChanges(changes, omitted);
    return {data, text: `revision ${older} to ${newer}\n${table}`};
  });
}

/** Renders one change a line, such as `/billing retry.max_starts: 3 -> 2`. */
function renderChangeLines(
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
