/** A session, which maps each of its client's keys to a job or a refusal. */
import type {Failure} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from '../record/index.js';

/** The kinds of entry that a session key can have. */
export enum KeyKind {
  Job = 'job',
  Closed = 'closed',
}

/** Attempts of one key that were refused as "not run". */
export interface ClosedAttempts {
  readonly kind: KeyKind.Closed;
  /** This attempt and all lower ones will never run. */
  readonly upTo: number;
  /** Submissions without an attempt number are refused until then. */
  readonly closedUntil: Millis;
  readonly failure: Failure;
}

/** The state of one key of a session. */
export type KeyEntry =
  | {
      readonly kind: KeyKind.Job;
      readonly job: JobRecord;
      /** Highest attempt refused before this job was accepted; 0 if none. */
      readonly closedUpTo: number;
    }
  | ClosedAttempts;

/** A session, which keeps the entries of all its keys until it ends. */
export class Session {
  private readonly keys = new Map<string, KeyEntry>();
  private lastUsedAt: Millis;

  constructor(
    readonly id: string,
    now: Millis,
  ) {
    this.lastUsedAt = now;
  }

  /** Number of keys with an entry. */
  get keyCount(): number {
    return this.keys.size;
  }

  /** Resets the idle time of the session. */
  touch(now: Millis): void {
    this.lastUsedAt = now;
  }

  /** The entry of `key`; undefined if the key was never used. */
  find(key: string): KeyEntry | undefined {
    return this.keys.get(key);
  }

  /** Replaces the entry of `key`. */
  set(key: string, entry: KeyEntry): void {
    this.keys.set(key, entry);
  }

  /** Iterates over all keys and their entries. */
  entries(): IterableIterator<[string, KeyEntry]> {
    return this.keys.entries();
  }

  /** Iterates over the jobs of the session. */
  *jobs(): Generator<JobRecord> {
    for (const entry of this.keys.values()) {
      if (entry.kind === KeyKind.Job) yield entry.job;
    }
  }

  /** Whether it was unused, and all its jobs have ended, for `idleMs`. */
  isIdle(idleMs: Millis, now: Millis): boolean {
    if (now - this.lastUsedAt < idleMs) return false;
    for (const job of this.jobs()) {
      if (job.endedAt === undefined || now - job.endedAt < idleMs) return false;
    }
    return true;
  }

  /** Drops the answers of jobs that ended at least `keptMs` ago. */
  expireAnswers(keptMs: Millis, now: Millis): void {
    for (const job of this.jobs()) {
      if (job.endedAt === undefined || job.isAnswerExpired) continue;
      if (now - job.endedAt >= keptMs) job.expireAnswer();
    }
  }
}
