/** Reads the records of accepted edits from the key-value service. */
import {
  toFailure,
  type KeyValue,
  type KeyValueClient,
} from '@goldcrestpier/platform';
import type {Failure, SettingsRevision} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  parseRecord,
  REVISION_KEY,
  RETRY_AFTER_MS,
  toHistoryKey,
} from './layout.js';

/** The records of accepted edits, one for each revision. */
export class EditHistory {
  constructor(private readonly client: KeyValueClient) {}

  /** Returns the records of the latest edits, newest first. */
  async readLatest(
    limit: number,
  ): Promise<Result<readonly SettingsRevision[], Failure>> {
    const newest = await this.client.range({key: REVISION_KEY});
    if (newest.isErr()) return Err(toFailure(newest.error, RETRY_AFTER_MS));
    const {revision} = parseNewestRecord(newest.value.values) ?? {revision: 0};
    return this.readRange(Math.max(revision - limit, 0), revision);
  }

  /** Reads the records after `after` up to `last`, inclusive, newest first. */
  async readRange(
    after: number,
    last: number,
  ): Promise<Result<readonly SettingsRevision[], Failure>> {
    const values = await this.client.range({
      key: toHistoryKey(after + 1),
      before: toHistoryKey(last + 1),
    });
    return values
      .map(answer => parseRecords(answer.values))
      .mapErr(failure => toFailure(failure, RETRY_AFTER_MS));
  }

  /** Reads the record of one revision; undefined if there is none. */
  async read(
    revision: number,
  ): Promise<Result<SettingsRevision | undefined, Failure>> {
    if (revision <= 0) return Ok(undefined);
    const values = await this.client.range({key: toHistoryKey(revision)});
    return values
      .map(({values: [found]}) => found && parseRecord(found.value))
      .mapErr(failure => toFailure(failure, RETRY_AFTER_MS));
  }
}

/** Parses the value of `REVISION_KEY`; undefined if it is unset or invalid. */
export function parseNewestRecord(
  values: readonly KeyValue[],
): SettingsRevision | undefined {
  const [found] = values;
  return found && parseRecord(found.value);
}

function parseRecords(values: readonly KeyValue[]): SettingsRevision[] {
  return values
    .map(({value}) => parseRecord(value))
    .filter(record => record !== undefined)
    .reverse();
}
