/** Commands that read the settings. */
import {
  effectiveViewSchema,
  settingsDiffSchema,
  settingsHistorySchema,
  settingsViewSchema,
} from '@goldcrestpier/operators';
import type {OperatorsCalls} from '../calls/index.js';
import {
  flattenValues,
  formatNode,
  formatValue,
  renderDifferences,
  renderTable,
} from '../output/index.js';
import type {CommandResult} from './command.js';

/** On the command line the root is written as `/`. */
export function readNode(text: string): string {
  return text === '/' ? '' : text;
}

/** `settings get [NODE]` */
export async function getSettings(
  calls: OperatorsCalls,
  node: string | undefined,
): CommandResult {
  const query = {node: node === undefined ? undefined : readNode(node)};
  const answer = await calls.call('GET', 'settings', settingsViewSchema, {
    query,
  });
  return answer.map(data => {
    const rows = Object.entries(data.nodes).flatMap(([path, values]) =>
      flattenValues(values).map(({key, value}) => [
        formatNode(path),
        key,
        formatValue(value),
      ]),
    );
    const table = renderTable(['NODE', 'KEY', 'VALUE'], rows);
    return {data, text: `revision ${data.revision}\n${table}`};
  });
}

/** `settings effective NODE` */
export async function getEffective(
  calls: OperatorsCalls,
  node: string,
): CommandResult {
  const query = {node: readNode(node)};
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
      from === undefined ? '(default)' : formatNode(from),
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
      data.edits.map(({revision, at, by, changes}) => [
        String(revision),
        new Date(at).toISOString(),
        by,
        changes.join('\n'),
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
    const table = renderDifferences(data.differences);
    return {data, text: `revision ${data.from} to ${data.to}\n${table}`};
  });
}
