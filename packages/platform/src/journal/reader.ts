import {Ok, type Result} from 'ts-results-es';
import type {PlatformFailure} from '../failure.js';
import type {KeyValueClient} from '../key_value/index.js';
import {JOURNAL_PREFIX, parseJournal, type JournalRecord} from './record.js';

const PAGE_SIZE = 50;
/** Sorts after every key with the prefix. */
const END_OF_PREFIX = `${JOURNAL_PREFIX}\u{10ffff}`;

/** Reads the journals of all incarnations, page by page. */
export async function readJournals(
  client: KeyValueClient,
): Promise<Result<readonly JournalRecord[], PlatformFailure>> {
  const records: JournalRecord[] = [];
  let key = JOURNAL_PREFIX;
  for (;;) {
    const page = await client.range({key, before: END_OF_PREFIX}, PAGE_SIZE);
    if (page.isErr()) return page;
    const {values, hasMore} = page.value;
    for (const {value} of values) {
      const record = parseJournal(value);
      if (record !== undefined) records.push(record);
    }
    const last = values.at(-1);
    if (!hasMore || last === undefined) return Ok(records);
    // The smallest key that sorts after this one.
    key = `${last.key}\0`;
  }
}
