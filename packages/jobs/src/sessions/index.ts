/** One session: the keys its client used, each a job or a closed attempt. */
import type {Failure} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from '../record/index.js';

/** What a key of a session stands for. */
export enum KeyKind {
  Job = 'job',
  Closed = 'closed',
}

/** Attempts of one key that were refused as "not run". */
export interface ClosedAttempts {
  readonly kind: KeyKind.Closed;
  /** This attempt and all below it never run. */
  readonly upTo: number;
  /** Until then a submission without an attempt is refused as well. */
  readonly until: Millis;
  readonly failure: Failure;
}

/** What a key of a session stands for. */
export type KeyEntry =
  | {
      readonly kind: KeyKind.Job;
      readonly job: JobRecord;
      /** Attempts that were refused before this job was accepted. */
      readonly closedUpTo: number;
    }
  | ClosedAttempts;

/** One session and its keys, which it remembers as long as it can be used. */
export class Session {
  private readonly keys = new Map<string, KeyEntry>();
  private usedAt: Millis;

  constructor(
    readonly id: string,
    now: Millis,
  ) {
    this.usedAt = now;
  }

  /** How many keys the session remembers. */
  get keyCount(): number {
    return this.keys.size;
  }

  /** Notes a use, which keeps the session from ending for want of use. */
  touch(now: Millis): void {
    this.usedAt = now;
  }

  /** What `key` stands for; undefined when it was never used. */
  find(key: string): KeyEntry | undefined {
    return this.keys.get(key);
  }

  /** Replaces what `key` stands for. */
  set(key: string, entry: KeyEntry): void {
    this.keys.set(key, entry);
  }

  /** Every key with what it stands for. */
  entries(): IterableIterator<[string, KeyEntry]> {
    return this.keys.entries();
  }

  /** Every job of the session. */
  *jobs(): Generator<JobRecord> {
    for (const entry of this.keys.values()) {
      if (entry.kind === KeyKind.Job) yield entry.job;
    }
  }

  /** Whether it went unused for `idleMs` and has no job still running. */
  isIdle(idleMs: Millis, now: Millis): boolean {
    if (now - this.usedAt < idleMs) return false;
    for (const job of this.jobs()) {
      if (job.endedAt === undefined || now - job.endedAt < idleMs) return false;
    }
    return true;
  }

  /** Drops the answers of jobs that ended `keptMs` ago or earlier. */
  dropOldAnswers(keptMs: Millis, now: Millis): void {
    for (const job of this.jobs()) {
      if (job.endedAt === undefined || job.answerExpired) continue;
      if (now - job.endedAt >= keptMs) job.expireAnswer();
    }
  }
}
