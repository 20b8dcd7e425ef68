/**
 * Settings operations of the operators' API, backed by the platform's settings
 * store and by the settings tree that this instance applies.
 */
import {
  createFailure,
  FailureCode,
  type Failure,
  type SettingsRevision,
} from '@goldcrestpier/protocol';
import {
  MAX_HISTORY_RECORDS,
  type EditAnswer,
  type EditRequest,
  type SettingsTree,
} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import type {SettingsView} from '../messages/index.js';
import type {SettingsOperations} from '../operations/index.js';
import {diffRevisions} from './diff.js';
import {listEffectiveValues} from './effective.js';

/** The methods of the settings store that the operators' API uses. */
export interface EditableSettings {
  read(): Promise<Result<SettingsTree, Failure>>;
  edit(request: EditRequest, at: Date): Promise<Result<EditAnswer, Failure>>;
  history(limit: number): Promise<Result<readonly SettingsRevision[], Failure>>;
}

/** Sources from which the settings operations read. */
export interface SettingsSources {
  readonly store: EditableSettings;
  /** Returns the applied tree; works while the platform is unavailable. */
  readonly readApplied: () => SettingsTree;
}

/** Creates the settings operations of one instance. */
export function createSettingsOperations({
  store,
  readApplied,
}: SettingsSources): SettingsOperations {
  return {
    async read(node) {
      // Falls back to the applied tree while the platform is unavailable.
      const newest = await store.read();
      return selectNodes(newest.unwrapOr(readApplied()), node);
    },
    readEffective: node =>
      Promise.resolve(listEffectiveValues(readApplied(), node)),
    edit: async request => {
      const edited = await store.edit(request, new Date());
      return edited.map(answer => ({...answer, changes: [...answer.changes]}));
    },
    readHistory: async limit =>
      (await store.history(limit)).map(edits => ({edits: [...edits]})),
    diff: async (from, to) =>
      (await store.history(MAX_HISTORY_RECORDS)).andThen(history =>
        diffRevisions(history, from, to),
      ),
  };
}

function selectNodes(
  tree: SettingsTree,
  path: string | undefined,
): Result<SettingsView, Failure> {
  const {revision} = tree;
  if (path === undefined) {
    return Ok({revision, nodes: Object.fromEntries(tree.nodes)});
  }
  const node = tree.nodes.get(path);
  if (node !== undefined) return Ok({revision, nodes: {[path]: node}});
  return Err(createFailure(FailureCode.SettingsUnknownNode, {node: path}));
}
