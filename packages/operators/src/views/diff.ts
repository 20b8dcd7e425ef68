/** Computes the changes between two revisions from the edit history. */
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
 * Merges the edits after `from`, up to and including `to` (the newest revision
 * when undefined), into one change per key. `history` is ordered newest first,
 * and its oldest records may be missing. Fails with `invalid_request`
 * when a revision is outside the history or `from` is later than `to`.
 */
export function diffRevisions(
  history: readonly SettingsRevision[],
  from: number,
  to: number | undefined,
): Result<SettingsDiff, Failure> {
  const newest = history[0]?.revision ?? 0;
  const oldest = Math.max((history.at(-1)?.revision ?? 1) - 1, 0);
  const last = to ?? newest;
  if (last > newest) return createRangeFailure('to', last, oldest, newest);
  if (from < oldest || from > last)
    return createRangeFailure('from', from, oldest, last);
  const edits = history
    .filter(({revision}) => revision > from && revision <= last)
    .reverse();
  const omitted = edits.reduce((sum, edit) => sum + edit.omitted, 0);
  return Ok({from, to: last, changes: mergeChanges(edits), omitted});
}

function mergeChanges(edits: readonly SettingsRevision[]): SettingsChange[] {
  const mergedChanges = new Map<string, SettingsChange>();
  for (const change of edits.flatMap(({changes}) => changes)) {
    const settingId = JSON.stringify([change.node, change.key]);
    const {before} = mergedChanges.get(settingId) ?? change;
    mergedChanges.set(settingId, {...change, before});
  }
  return [...mergedChanges.values()].filter(
    ({before, after}) => JSON.stringify(before) !== JSON.stringify(after),
  );
}

function createRangeFailure(
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
