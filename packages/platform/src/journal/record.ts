/** What an incarnation was holding, for operators to read after its end. */
import {FailureCode, JobState} from '@goldcrestpier/protocol';
import {z} from 'zod';

const PREFIX = 'goldcrestpier/journal/';

/** Whether the incarnation ended as planned. */
export enum JournalState {
  /** It runs, or it ended without being able to say so. */
  Running = 'running',
  Stopped = 'stopped',
}

/** One job, without payloads. */
export const journalEntrySchema = z.object({
  session: z.string(),
  key: z.string(),
  team: z.string(),
  state: z.enum(JobState),
  tasks: z.number().int().nonnegative(),
  done: z.number().int().nonnegative(),
  failed: z.number().int().nonnegative(),
  /** Why it failed; absent while it has not. */
  failure: z.enum(FailureCode).optional(),
});

/** What one incarnation wrote last. */
export const journalRecordSchema = z.object({
  /** `zone.instance.nonce`. */
  incarnation: z.string(),
  state: z.enum(JournalState),
  /** When it was written, as an ISO 8601 date and time in UTC. */
  at: z.string(),
  openJobs: z.array(journalEntrySchema),
  recentFailures: z.array(journalEntrySchema),
  /** Open jobs and failures that are not listed, being too many. */
  omitted: z.number().int().nonnegative(),
});

/** One job, without payloads. */
export type JournalEntry = Readonly<z.infer<typeof journalEntrySchema>>;
/** What one incarnation wrote last. */
export type JournalRecord = Readonly<z.infer<typeof journalRecordSchema>>;

/** Below this prefix each incarnation has one key. */
export const JOURNAL_PREFIX = PREFIX;

/** Where one incarnation's journal stands. */
export function toJournalKey(incarnation: string): string {
  return `${PREFIX}${incarnation}`;
}

/** Reads a stored journal; undefined when it is none. */
export function parseJournal(value: string): JournalRecord | undefined {
  try {
    return journalRecordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
