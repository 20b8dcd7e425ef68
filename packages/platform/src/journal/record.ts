/** Journal records, which operators read after an incarnation has ended. */
import {FailureCode, JobState} from '@goldcrestpier/protocol';
import {z} from 'zod';

const PREFIX = 'goldcrestpier/journal/';

/** Whether the incarnation was shut down in order. */
export enum JournalState {
  /** It is running, or it ended without writing a final record. */
  Running = 'running',
  Stopped = 'stopped',
}

/** Schema of one job's entry, without payloads. */
export const journalEntrySchema = z.object({
  session: z.string(),
  key: z.string(),
  team: z.string(),
  state: z.enum(JobState),
  tasks: z.number().int().nonnegative(),
  done: z.number().int().nonnegative(),
  failed: z.number().int().nonnegative(),
  /** Absent unless the job failed. */
  failure: z.enum(FailureCode).optional(),
});

/** Schema of the latest record of one incarnation. */
export const journalRecordSchema = z.object({
  /** `zone.instance.nonce`. */
  incarnation: z.string(),
  state: z.enum(JournalState),
  /** Time of the write, as an ISO 8601 date and time in UTC. */
  at: z.string(),
  openJobs: z.array(journalEntrySchema),
  recentFailures: z.array(journalEntrySchema),
  /** Number of open jobs and failures left out because of the list limits. */
  omitted: z.number().int().nonnegative(),
});

/** One job, without payloads. */
export type JournalEntry = Readonly<z.infer<typeof journalEntrySchema>>;
/** The latest record of one incarnation. */
export type JournalRecord = Readonly<z.infer<typeof journalRecordSchema>>;

/** Prefix of the journal keys, one per incarnation. */
export const JOURNAL_PREFIX = PREFIX;

/** Returns the key under which an incarnation's journal is stored. */
export function toJournalKey(incarnation: string): string {
  return `${PREFIX}${incarnation}`;
}

/** Parses a stored record; undefined if it is malformed. */
export function parseJournal(value: string): JournalRecord | undefined {
  try {
    return journalRecordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
