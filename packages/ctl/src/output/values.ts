/** Settings' values and times as people read them. */
import type {SettingsChange} from '@goldcrestpier/protocol';
import {renderTable} from './table.js';

const MILLIS_PER_SECOND = 1_000;
const NOT_SET = '-';

/** One key with its value, the names of nested tables joined by dots. */
export interface Leaf {
  readonly key: string;
  readonly value: unknown;
}

/** Lists every key of nested tables. */
export function flattenValues(value: unknown, prefix = ''): Leaf[] {
  if (!isTable(value)) return [{key: prefix, value}];
  return Object.entries(value).flatMap(([name, inner]) =>
    flattenValues(inner, prefix === '' ? name : `${prefix}.${name}`),
  );
}

/** One value as text. */
export function formatValue(value: unknown): string {
  return value === undefined ? NOT_SET : JSON.stringify(value);
}

/** A duration in milliseconds as seconds. */
export function formatSeconds(milliseconds: number): string {
  return `${(milliseconds / MILLIS_PER_SECOND).toFixed(1)} s`;
}

/** What changed, as a table; `omitted` changes are not listed. */
export function renderChanges(
  changes: readonly SettingsChange[],
  omitted = 0,
): string {
  const table = renderTable(
    ['NODE', 'KEY', 'BEFORE', 'AFTER'],
    changes.map(({node, key, before, after}) => [
      node,
      key,
      formatValue(before),
      formatValue(after),
    ]),
  );
  return omitted === 0 ? table : `${table}\n(and ${omitted} more)`;
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
