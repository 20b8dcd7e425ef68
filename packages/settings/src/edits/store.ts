import {
  StepKind,
  toFailure,
  type KeyValue,
  type KeyValueClient,
  type PlatformFailure,
  type StepAnswer,
} from '@goldcrestpier/platform';
import {
  createFailure,
  FailureCode,
  Ran,
  type Failure,
  type SettingsChange,
  type SettingsRevision,
} from '@goldcrestpier/protocol';
import {sleep, type Logger} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {SettingsTree} from '../tree/tree.js';
import {applyEdits, EditKind, type EditRequest} from './edit.js';
import {
  HISTORY_KEPT,
  parseRecord,
  parseTree,
  REVISION_KEY,
  toEditKey,
  toHistoryKey,
  TREE_PREFIX,
  type StoredTree,
} from './layout.js';
import {planEdit, type EditPlan} from './plan.js';

const RETRY_AFTER_MS = 1_000;
const MOST_ATTEMPTS = 3;
const ATTEMPT_PAUSE_MS = 100;
const MOST_NEWER = 20;

/** An edit that is in force, or about to be everywhere. */
export interface EditAnswer {
  readonly revision: number;
  readonly changes: readonly SettingsChange[];
  /** Whether this edit id had been accepted before. */
  readonly repeated: boolean;
}

/** Reads and edits the tree in the platform's service. */
export class SettingsStore {
  constructor(
    private readonly client: KeyValueClient,
    private readonly logger: Logger,
    /**
     * The revision in force here. A service that was set back to an earlier
     * state is behind it; an edit then counts on from here, or else nobody
     * would take it.
     */
    private readonly readApplied: () => number = () => 0,
  ) {}

  /** Reads the newest tree. */
  async read(): Promise<Result<SettingsTree, Failure>> {
    const query = {key: TREE_PREFIX, isPrefix: true};
    const values = await this.client.range(query);
    if (values.isErr()) return Err(toFailure(values.error, RETRY_AFTER_MS));
    const stored = parseTree(values.value.values);
    if (stored === undefined) return refuseUnreadable();
    return createTree(stored.revision, stored.nodes);
  }

  /**
   * Makes one edit: read, check the whole tree, write in one transaction.
   * A race is a conflict with the newer edits. Sent again with the same edit
   * id, an accepted edit is answered again and not made twice.
   */
  async edit(
    request: EditRequest,
    at: Date,
  ): Promise<Result<EditAnswer, Failure>> {
    const read = await this.readForEdit(request.editId);
    if (read.isErr()) return read;
    const {stored, accepted} = read.value;
    if (accepted !== undefined) return this.answerAgain(accepted);
    const {expectedRevision = stored.revision} = request;
    if (expectedRevision !== stored.revision) {
      return this.refuseConflict(expectedRevision, stored.revision);
    }
    const revision = Math.max(stored.revision, this.readApplied()) + 1;
    const checked = checkReadable(stored, request)
      .andThen(() => applyEdits(stored.nodes, request.edits))
      .andThen(after => createTree(revision, after));
    if (checked.isErr()) return checked;
    const forgotten = await this.readRecord(revision - HISTORY_KEPT);
    if (forgotten.isErr()) return forgotten;
    const tree = checked.value;
    const plan = planEdit(request, stored, tree, forgotten.value, at);
    if (plan.changes.length === 0) {
      return Ok({revision: stored.revision, changes: [], repeated: false});
    }
    return this.write(plan, stored.revision);
  }

  /** The records of the latest edits, newest first. */
  async history(
    limit: number,
  ): Promise<Result<readonly SettingsRevision[], Failure>> {
    const newest = await this.client.range({key: REVISION_KEY});
    if (newest.isErr()) return Err(toFailure(newest.error, RETRY_AFTER_MS));
    const {revision} = readNewest(newest.value.values) ?? {revision: 0};
    return this.readRecords(Math.max(revision - limit, 0), revision);
  }

  private async readForEdit(
    editId: string,
  ): Promise<Result<ReadForEdit, Failure>> {
    const answer = await this.client.txn({
      compare: [],
      success: [
        {kind: StepKind.Get, key: TREE_PREFIX, isPrefix: true},
        {kind: StepKind.Get, key: toEditKey(editId)},
      ],
      failure: [],
    });
    if (answer.isErr()) return Err(toFailure(answer.error, RETRY_AFTER_MS));
    const [tree, edit] = answer.value.answers;
    const stored = parseTree(valuesOf(tree));
    if (stored === undefined) return refuseUnreadable();
    return Ok({stored, accepted: readAccepted(edit)});
  }

  /**
   * Writes the plan. When its outcome is unknown the same transaction is sent
   * again: it either takes effect now, or the edit id tells that it did.
   */
  private async write(
    plan: EditPlan,
    base: number,
  ): Promise<Result<EditAnswer, Failure>> {
    const {record, changes, transaction} = plan;
    let mayHaveTakenEffect = false;
    for (let attempt = 1; attempt <= MOST_ATTEMPTS; attempt += 1) {
      const written = await this.client.txn(transaction);
      if (written.isErr()) {
        mayHaveTakenEffect ||= written.error.mayHaveTakenEffect;
        if (!mayHaveTakenEffect) {
          return Err(toFailure(written.error, RETRY_AFTER_MS));
        }
        this.logUnknown(record, attempt, written.error);
        await sleep(ATTEMPT_PAUSE_MS);
        continue;
      }
      if (written.value.succeeded) {
        return Ok({revision: record.revision, changes, repeated: false});
      }
      const accepted = readAccepted(written.value.answers[0]);
      if (accepted === record.revision) {
        return Ok({revision: accepted, changes, repeated: false});
      }
      if (accepted !== undefined) return this.answerAgain(accepted);
      const newest = readNewest(valuesOf(written.value.answers[1]));
      return this.refuseConflict(base, newest?.revision ?? base);
    }
    return refuseUnknownOutcome(record.editId);
  }

  private async answerAgain(
    revision: number,
  ): Promise<Result<EditAnswer, Failure>> {
    const record = await this.readRecord(revision);
    return record.map(found => ({
      revision,
      changes: found?.changes ?? [],
      repeated: true,
    }));
  }

  private async refuseConflict(
    expected: number,
    found: number,
  ): Promise<Err<Failure>> {
    const from = Math.max(expected, found - MOST_NEWER);
    const newer = (await this.readRecords(from, found)).unwrapOr([]);
    const args = {expected, found};
    return Err(createFailure(FailureCode.SettingsConflict, args, {newer}));
  }

  /** The records past `after`, up to `last` and with it, newest first. */
  private async readRecords(
    after: number,
    last: number,
  ): Promise<Result<readonly SettingsRevision[], Failure>> {
    const values = await this.client.range({
      key: toHistoryKey(after + 1),
      before: toHistoryKey(last + 1),
    });
    return values
      .map(answer => readRecordsOf(answer.values))
      .mapErr(failure => toFailure(failure, RETRY_AFTER_MS));
  }

  private async readRecord(
    revision: number,
  ): Promise<Result<SettingsRevision | undefined, Failure>> {
    if (revision <= 0) return Ok(undefined);
    const values = await this.client.range({key: toHistoryKey(revision)});
    return values
      .map(({values: [found]}) => found && parseRecord(found.value))
      .mapErr(failure => toFailure(failure, RETRY_AFTER_MS));
  }

  private logUnknown(
    {editId, revision}: SettingsRevision,
    attempt: number,
    {reason, detail}: PlatformFailure,
  ): void {
    const fields = {editId, revision, attempt, reason, detail};
    this.logger.warn('the outcome of an edit is not known yet', fields);
  }
}

interface ReadForEdit {
  readonly stored: StoredTree;
  /** The revision which this edit became, when it was accepted before. */
  readonly accepted: number | undefined;
}

function readAccepted(answer: StepAnswer | undefined): number | undefined {
  const [found] = valuesOf(answer);
  const revision = Number(found?.value);
  return Number.isSafeInteger(revision) ? revision : undefined;
}

function readNewest(values: readonly KeyValue[]): SettingsRevision | undefined {
  const [found] = values;
  return found && parseRecord(found.value);
}

function readRecordsOf(values: readonly KeyValue[]): SettingsRevision[] {
  return values
    .map(({value}) => parseRecord(value))
    .filter(record => record !== undefined)
    .reverse();
}

/** Only a whole new tree may take the place of what cannot be read. */
function checkReadable(
  {unreadable}: StoredTree,
  {edits}: EditRequest,
): Result<void, Failure> {
  const isReplaced = edits.some(({kind}) => kind === EditKind.Apply);
  if (unreadable.length === 0 || isReplaced) return Ok(undefined);
  const problems = unreadable.map(path => ({
    path,
    found: 'a stored node of another form',
    expected: 'expected a node that this version can read',
  }));
  return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
}

function valuesOf(answer: StepAnswer | undefined): readonly KeyValue[] {
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

function refuseUnreadable(): Err<Failure> {
  const reason = 'the stored tree has no readable revision';
  return Err(createFailure(FailureCode.PlatformUnavailable, {reason}));
}

function refuseUnknownOutcome(editId: string): Err<Failure> {
  const reason = `whether edit ${editId} was accepted is not known, ask again with the same edit id`;
  return Err(
    createFailure(
      FailureCode.PlatformUnavailable,
      {reason},
      {ran: Ran.MayHaveRun, retryAfterMs: RETRY_AFTER_MS},
    ),
  );
}
