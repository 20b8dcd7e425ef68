/** The settings' operations over the platform's store and the applied tree. */
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
import {sumUpRevisions} from './diff.js';
import {listEffective} from './effective.js';

/** The part of the settings' store that operators use. */
export interface EditableSettings {
  read(): Promise<Result<SettingsTree, Failure>>;
  edit(request: EditRequest, at: Date): Promise<Result<EditAnswer, Failure>>;
  history(limit: number): Promise<Result<readonly SettingsRevision[], Failure>>;
}

/** What the operations rest on. */
export interface SettingsSources {
  readonly store: EditableSettings;
  /** The tree that this instance applies; known also while the platform is out. */
  readonly readApplied: () => SettingsTree;
}

/** Creates the settings' operations of one instance. */
export function createSettingsOperations({
  store,
  readApplied,
}: SettingsSources): SettingsOperations {
  return {
    async read(node) {
      // While the platform is out, what is applied here is the best there is.
      const newest = await store.read();
      return selectNodes(newest.unwrapOr(readApplied()), node);
    },
    readEffective: node => Promise.resolve(listEffective(readApplied(), node)),
    edit: async request => {
      const edited = await store.edit(request, new Date());
      return edited.map(answer => ({...answer, changes: [...answer.changes]}));
    },
    readHistory: async limit =>
      (await store.history(limit)).map(edits => ({edits: [...edits]})),
    diff: async (from, to) =>
      (await store.history(MAX_HISTORY_RECORDS)).andThen(history =>
        sumUpRevisions(history, from, to),
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
