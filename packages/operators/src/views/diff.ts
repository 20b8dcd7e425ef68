/** What changed between two revisions, put together from the history. */
import {
  createFailure,
  FailureCode,
  type Failure,
  type SettingsChange,
  type SettingsRevision,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import type {SettingsDiff} from '../messages/index.js';

/**
 * Sums up the edits after `from`, up to `to` (the newest when undefined).
 * `history` is newest first and may have lost its oldest part.
 */
export function sumUpRevisions(
  history: readonly SettingsRevision[],
  from: number,
  to: number | undefined,
): Result<SettingsDiff, Failure> {
  const newest = history[0]?.revision ?? 0;
  const oldest = Math.max((history.at(-1)?.revision ?? 1) - 1, 0);
  const last = to ?? newest;
  if (last > newest) return refuse('to', last, oldest, newest);
  if (from < oldest || from > last) return refuse('from', from, oldest, last);
  const edits = history
    .filter(({revision}) => revision > from && revision <= last)
    .reverse();
  const omitted = edits.reduce((sum, edit) => sum + edit.omitted, 0);
  return Ok({from, to: last, changes: sumUpChanges(edits), omitted});
}

function sumUpChanges(edits: readonly SettingsRevision[]): SettingsChange[] {
  const sums = new Map<string, SettingsChange>();
  for (const change of edits.flatMap(({changes}) => changes)) {
    const name = JSON.stringify([change.node, change.key]);
    const {before} = sums.get(name) ?? change;
    sums.set(name, {...change, before});
  }
  return [...sums.values()].filter(
    ({before, after}) => JSON.stringify(before) !== JSON.stringify(after),
  );
}

function refuse(
  path: string,
  revision: number,
  lowest: number,
  highest: number,
): Err<Failure> {
  const found = String(revision);
  const expected = `expected a revision from ${lowest} to ${highest}`;
  const problems = [{path, found, expected}];
  return Err(createFailure(FailureCode.InvalidRequest, {problems}));
}
