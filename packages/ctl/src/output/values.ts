/** Formats values of settings, changes of settings and durations as text. */
import type {SettingsChange} from '@goldcrestpier/protocol';
import {renderTable} from './table.js';

const MILLIS_PER_SECOND = 1_000;
const UNSET_TEXT = '-';

/** A value with its key, in which the names of nested tables are dotted. */
export interface SettingEntry {
  readonly key: string;
  readonly value: unknown;
}

/** Flattens nested tables into a list of dotted keys and their values. */
export function flattenValues(value: unknown, prefix = ''): SettingEntry[] {
  if (!isTable(value)) return [{key: prefix, value}];
  return Object.entries(value).flatMap(([name, nested]) =>
    flattenValues(nested, prefix === '' ? name : `${prefix}.${name}`),
  );
}

/** Formats a value of a setting as JSON, or as `-` if it is not set. */
export function formatValue(value: unknown): string {
  return value === undefined ? UNSET_TEXT : JSON.stringify(value);
}

/** Formats a duration in milliseconds as seconds. */
export function formatSeconds(milliseconds: number): string {
  return `${(milliseconds / MILLIS_PER_SECOND).toFixed(1)} s`;
}

/** Renders changes as a table; `omitted` is the number of those left out. */
export function renderChanges(
  changes: readonly SettingsChange[],
  omitted = 0,
): string {
  const rendered = renderTable(
    ['NODE', 'KEY', 'BEFORE', 'AFTER'],
    changes.map(({node, key, before, after}) => [
      node,
      key,
      formatValue(before),
      formatValue(after),
    ]),
  );
  return omitted === 0 ? rendered : `${rendered}\n(and ${omitted} more)`;
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
