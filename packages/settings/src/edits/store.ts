/** Reads and edits the settings tree, one transaction for each edit. */
import {
  StepKind,
  toFailure,
  type KeyValue,
  type KeyValueClient,
  type PlatformFailure,
  type StepResult,
} from '@goldcrestpier/platform';
import {
  createFailure,
  FailureCode,
  RunStatus,
  type Failure,
  type SettingsChange,
  type SettingsRevision,
} from '@goldcrestpier/protocol';
import {sleep, type Logger} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {SettingsTree} from '../tree/tree.js';
import {applyEdits, EditKind, type EditRequest} from './edit.js';
import {EditHistory, parseNewestRecord} from './history.js';
import {
  MAX_HISTORY_RECORDS,
  parseTree,
  RETRY_AFTER_MS,
  toEditKey,
  TREE_PREFIX,
  type StoredTree,
} from './layout.js';
import {planEdit, type EditPlan} from './plan.js';

const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 100;
const MAX_CONFLICT_REVISIONS = 20;

/** Result of an accepted edit, which instances apply asynchronously. */
export interface EditAnswer {
  readonly revision: number;
  readonly changes: readonly SettingsChange[];
  /** Whether an earlier request with the same edit id was accepted. */
  readonly repeated: boolean;
}

/** Reads and edits the tree in the platform's key-value service. */
export class SettingsStore {
  private readonly records: EditHistory;

  constructor(
    private readonly client: KeyValueClient,
    private readonly logger: Logger,
    /**
     * Returns the revision applied by this instance. It is higher than the
     * stored one if the service was restored to an earlier state; an edit then
     * continues from it, as instances ignore lower revisions.
     */
    private readonly readAppliedRevision: () => number = () => 0,
  ) {
    this.records = new EditHistory(client);
  }

  /** Reads the latest tree. */
  async read(): Promise<Result<SettingsTree, Failure>> {
    const query = {key: TREE_PREFIX, isPrefix: true};
    const values = await this.client.range(query);
    if (values.isErr()) return Err(toFailure(values.error, RETRY_AFTER_MS));
    const stored = parseTree(values.value.values);
    if (stored === undefined) return rejectUnreadable();
    return createTree(stored.revision, stored.nodes);
  }

  /**
   * Reads the tree, applies the edits, validates the whole result and writes it
   * in one transaction. A concurrent edit causes a conflict with the newer edits.
   * Idempotent: an edit id that was accepted returns its first result again.
   */
  async edit(
    request: EditRequest,
    timestamp: Date,
  ): Promise<Result<EditAnswer, Failure>> {
    const state = await this.readEditState(request.editId);
    if (state.isErr()) return state;
    const {stored, accepted} = state.value;
    if (accepted !== undefined) return this.readAcceptedEdit(accepted);
    const {expectedRevision = stored.revision} = request;
    if (expectedRevision !== stored.revision) {
      return this.rejectConflict(expectedRevision, stored.revision);
    }
    const revision = Math.max(stored.revision, this.readAppliedRevision()) + 1;
    const checked = checkReadable(stored, request)
      .andThen(() => applyEdits(stored.nodes, request.edits))
      .andThen(after => createTree(revision, after));
    if (checked.isErr()) return checked;
    const expiredRecord = await this.records.read(
      revision - MAX_HISTORY_RECORDS,
    );
    if (expiredRecord.isErr()) return expiredRecord;
    const tree = checked.value;
    const plan = planEdit(
      request,
      stored,
      tree,
      expiredRecord.value,
      timestamp,
    );
    if (plan.changes.length === 0) {
      return Ok({revision: stored.revision, changes: [], repeated: false});
    }
    return this.write(plan, stored.revision);
  }

  /** Returns the records of the latest edits, newest first. */
  history(
    limit: number,
  ): Promise<Result<readonly SettingsRevision[], Failure>> {
    return this.records.readLatest(limit);
  }

  private async readEditState(
    editId: string,
  ): Promise<Result<EditState, Failure>> {
    const answer = await this.client.txn({
      compare: [],
      success: [
        {kind: StepKind.Get, key: TREE_PREFIX, isPrefix: true},
        {kind: StepKind.Get, key: toEditKey(editId)},
      ],
      failure: [],
    });
    if (answer.isErr()) return Err(toFailure(answer.error, RETRY_AFTER_MS));
    const [tree, edit] = answer.value.results;
    const stored = parseTree(getValues(tree));
    if (stored === undefined) return rejectUnreadable();
    return Ok({stored, accepted: parseAcceptedRevision(edit)});
  }

  /**
   * Writes the plan. If the outcome is unknown, sends the same transaction again:
   * it takes effect now, or the stored edit id shows that it already did.
   */
  private async write(
    plan: EditPlan,
    baseRevision: number,
  ): Promise<Result<EditAnswer, Failure>> {
    const {record, changes, transaction} = plan;
    let mayHaveTakenEffect = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const written = await this.client.txn(transaction);
      if (written.isErr()) {
        mayHaveTakenEffect ||= written.error.mayHaveTakenEffect;
        if (!mayHaveTakenEffect) {
          return Err(toFailure(written.error, RETRY_AFTER_MS));
        }
        this.logUnknownOutcome(record, attempt, written.error);
        await sleep(RETRY_DELAY_MS);
        continue;
      }
      if (written.value.succeeded) {
        return Ok({revision: record.revision, changes, repeated: false});
      }
      const accepted = parseAcceptedRevision(written.value.results[0]);
      if (accepted === record.revision) {
        return Ok({revision: accepted, changes, repeated: false});
      }
      if (accepted !== undefined) return this.readAcceptedEdit(accepted);
      const newest = parseNewestRecord(getValues(written.value.results[1]));
      return this.rejectConflict(
        baseRevision,
        newest?.revision ?? baseRevision,
      );
    }
    return rejectUnknownOutcome(record.editId);
  }

  private async readAcceptedEdit(
    revision: number,
  ): Promise<Result<EditAnswer, Failure>> {
    const record = await this.records.read(revision);
    return record.map(found => ({
      revision,
      changes: found?.changes ?? [],
      repeated: true,
    }));
  }

  private async rejectConflict(
    expected: number,
    found: number,
  ): Promise<Err<Failure>> {
    const afterRevision = Math.max(expected, found - MAX_CONFLICT_REVISIONS);
    const read = await this.records.readRange(afterRevision, found);
    const newer = read.unwrapOr([]);
    const args = {expected, found};
    return Err(createFailure(FailureCode.SettingsConflict, args, {newer}));
  }

  private logUnknownOutcome(
    {editId, revision}: SettingsRevision,
    attempt: number,
    {reason, detail}: PlatformFailure,
  ): void {
    const fields = {editId, revision, attempt, reason, detail};
    this.logger.warn('outcome of the settings edit is unknown', fields);
  }
}

interface EditState {
  readonly stored: StoredTree;
  /** Revision of this edit if it was accepted before. */
  readonly accepted: number | undefined;
}

function parseAcceptedRevision(
  answer: StepResult | undefined,
): number | undefined {
  const [found] = getValues(answer);
  const revision = Number(found?.value);
  return Number.isSafeInteger(revision) ? revision : undefined;
}

/** Rejects edits of an unreadable tree, except one that replaces all of it. */
function checkReadable(
  {unreadable}: StoredTree,
  {edits}: EditRequest,
): Result<void, Failure> {
  const replacesTree = edits.some(({kind}) => kind === EditKind.Apply);
  if (unreadable.length === 0 || replacesTree) return Ok(undefined);
  const problems = unreadable.map(path => ({
    path,
    found: 'a stored node of another form',
    expected: 'expected a node that this version can read',
  }));
  return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
}

function getValues(answer: StepResult | undefined): readonly KeyValue[] {
  return answer?.kind === StepKind.Get ? answer.values : [];
}

function createTree(
  revision: number,
  nodes: StoredTree['nodes'],
): Result<SettingsTree, Failure> {
  return SettingsTree.create(revision, nodes).mapErr(problems =>
    createFailure(FailureCode.SettingsInvalid, {problems}),
  );
}

function rejectUnreadable(): Err<Failure> {
  const reason = 'the stored tree has no readable revision';
  return Err(createFailure(FailureCode.PlatformUnavailable, {reason}));
}

function rejectUnknownOutcome(editId: string): Err<Failure> {
  const reason = `whether edit ${editId} was accepted is not known, ask again with the same edit id`;
  return Err(
    createFailure(
      FailureCode.PlatformUnavailable,
      {reason},
      {ran: RunStatus.MayHaveRun, retryAfterMs: RETRY_AFTER_MS},
    ),
  );
}
