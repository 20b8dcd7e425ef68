/**
 * Hands sessions over to another instance on a planned shutdown. The successor
 * never starts tasks: it serves the answers of ended jobs and repeats "not run"
 * for closed attempts.
 */
import {
  createFailure,
  FailureCode,
  type Failure,
  type JobAnswer,
  type SubmittedJob,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {digestJob} from '../digest/index.js';
import {KeyKind, type Session} from '../sessions/index.js';

/** The answer of an ended job, with the digest of its submission. */
export interface ExportedAnswer {
  readonly digest: string;
  readonly answer: JobAnswer;
}

/** The state of one session that is handed over. */
export interface ExportedSession {
  readonly session: string;
  readonly answers: ExportedAnswer[];
  readonly closed: {key: string; attempt: number}[];
}

interface AdoptedSession {
  readonly answers: ReadonlyMap<string, ExportedAnswer>;
  readonly closed: ReadonlyMap<string, number>;
  readonly expiresAt: Millis;
}

/** Exports the ended jobs and closed attempts of a session for a successor. */
export function exportSession(session: Session): ExportedSession {
  const answers: ExportedAnswer[] = [];
  const closed: {key: string; attempt: number}[] = [];
  for (const [key, entry] of session.entries()) {
    switch (entry.kind) {
      case KeyKind.Closed:
        closed.push({key, attempt: entry.upTo});
        break;
      case KeyKind.Job: {
        const {job} = entry;
        if (job.endedAt === undefined || job.isAnswerExpired) break;
        answers.push({digest: job.header.digest, answer: job.toAnswer()});
        break;
      }
    }
  }
  return {session: session.id, answers, closed};
}

/** Sessions taken over from instances that have shut down. */
export class AdoptedSessions {
  private readonly sessions = new Map<string, AdoptedSession>();

  constructor(private readonly retentionMs: Millis) {}

  /** Whether this instance has taken over `session`. */
  has(session: string): boolean {
    return this.sessions.has(session);
  }

  /** Number of sessions taken over. */
  get size(): number {
    return this.sessions.size;
  }

  /** Takes over sessions of an instance that is shutting down. */
  adopt(sessions: readonly ExportedSession[], now: Millis): void {
    for (const {session, answers, closed} of sessions) {
      // A large session arrives in several parts, which are merged.
      const existing = this.sessions.get(session);
      this.sessions.set(session, {
        answers: new Map([
          ...(existing?.answers ?? []),
          ...answers.map(each => [each.answer.key, each] as const),
        ]),
        closed: new Map([
          ...(existing?.closed ?? []),
          ...closed.map(({key, attempt}) => [key, attempt] as const),
        ]),
        expiresAt: now + this.retentionMs,
      });
    }
  }

  /** Answers a submission from the adopted state, without starting tasks. */
  submit(
    id: string,
    key: string,
    attempt: number | undefined,
    job: SubmittedJob,
  ): Result<JobAnswer, Failure> {
    const session = this.sessions.get(id);
    const adopted = session?.answers.get(key);
    if (adopted !== undefined) {
      if (adopted.digest === digestJob(job)) return Ok(adopted.answer);
      return Err(createFailure(FailureCode.ContentConflict, {key}));
    }
    const closed = session?.closed.get(key);
    if (closed !== undefined && attempt !== undefined && attempt <= closed) {
      return Err(createFailure(FailureCode.AttemptClosed, {attempt, closed}));
    }
    return Err(createFailure(FailureCode.SessionEnded, {session: id}));
  }

  /** Reads the adopted answer of a job. */
  read(id: string, key: string): Result<JobAnswer, Failure> {
    const adopted = this.sessions.get(id)?.answers.get(key);
    if (adopted !== undefined) return Ok(adopted.answer);
    return Err(createFailure(FailureCode.SessionEnded, {session: id}));
  }

  /** Drops a session; later requests for it fail as for an ended one. */
  end(id: string): void {
    this.sessions.delete(id);
  }

  /** Drops sessions past their retention time. */
  sweep(now: Millis): void {
    for (const [id, session] of this.sessions) {
      if (now >= session.expiresAt) this.sessions.delete(id);
    }
  }
}
