/** The journal for the morning after: what each incarnation was holding. */
export {readJournals} from './reader.js';
export {JournalState, type JournalEntry, type JournalRecord} from './record.js';
export {
  findJournalInterval,
  JournalWriter,
  type JournalContent,
  type JournalOptions,
} from './writer.js';
