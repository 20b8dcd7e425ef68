/** Settings store in memory that uses the real tree and the real edits. */
import type {EditableSettings} from '@goldcrestpier/operators';
import {
  createFailure,
  FailureCode,
  type Failure,
  type SettingsRevision,
} from '@goldcrestpier/protocol';
import {
  applyEdits,
  diffNodes,
  SettingsTree,
  type EditAnswer,
  type EditRequest,
} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';

/** Settings tree that accepts edits in the same way as the platform's store. */
export class MemorySettings implements EditableSettings {
  tree = SettingsTree.createEmpty();
  /** Newest first. */
  edits: SettingsRevision[] = [];
  /** Called once before the next edit is applied. */
  beforeEdit: (() => void) | undefined;

  /** Resets to an empty tree without edits. */
  reset(): void {
    this.tree = SettingsTree.createEmpty();
    this.edits = [];
    this.beforeEdit = undefined;
  }

  read(): Promise<Result<SettingsTree, Failure>> {
    return Promise.resolve(Ok(this.tree));
  }

  history(
    limit: number,
  ): Promise<Result<readonly SettingsRevision[], Failure>> {
    return Promise.resolve(Ok(this.edits.slice(0, limit)));
  }

  edit(request: EditRequest): Promise<Result<EditAnswer, Failure>> {
    const hook = this.beforeEdit;
    this.beforeEdit = undefined;
    hook?.();
    return Promise.resolve(this.applyEdit(request));
  }

  /** Applies an edit synchronously. */
  applyEdit(request: EditRequest): Result<EditAnswer, Failure> {
    const {editId, by, expectedRevision: expected, edits} = request;
    const repeatedEdit = this.edits.find(edit => edit.editId === editId);
    if (repeatedEdit !== undefined) {
      const {revision, changes} = repeatedEdit;
      return Ok({revision, changes, repeated: true});
    }
    const {revision: found, nodes} = this.tree;
    if (expected !== undefined && expected !== found) {
      const newer = this.edits.filter(({revision}) => revision > expected);
      const args = {expected, found};
      return Err(createFailure(FailureCode.SettingsConflict, args, {newer}));
    }
    const revision = found + 1;
    return applyEdits(nodes, edits)
      .andThen(after =>
        SettingsTree.create(revision, after).mapErr(problems =>
          createFailure(FailureCode.SettingsInvalid, {problems}),
        ),
      )
      .map(tree => {
        const changes = diffNodes(nodes, tree.nodes);
        const at = new Date(Date.UTC(2026, 0, revision)).toISOString();
        this.edits.unshift({revision, editId, by, at, changes, omitted: 0});
        this.tree = tree;
        return {revision, changes, repeated: false};
      });
  }
}
