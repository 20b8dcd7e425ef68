/** Journals of the jobs that each incarnation held, read after its end. */
export {readJournals} from './reader.js';
export {JournalState, type JournalEntry, type JournalRecord} from './record.js';
export {
  computeWriteIntervalMs,
  JournalWriter,
  type JournalContent,
  type JournalWriterOptions,
} from './writer.js';
