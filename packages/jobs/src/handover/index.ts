/**
 * What a planned stop passes on, and what its successor answers with. A successor never
 * starts anything: it gives answers that were already whole, and repeats "not
 * run" for attempts that were closed.
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

/** An ended job as it is handed over. */
export interface HandedAnswer {
  readonly digest: string;
  readonly answer: JobAnswer;
}

/** One session as it is handed over. */
export interface HandedSession {
  readonly session: string;
  readonly answers: HandedAnswer[];
  readonly closed: {key: string; attempt: number}[];
}

interface AdoptedSession {
  readonly answers: ReadonlyMap<string, HandedAnswer>;
  readonly closed: ReadonlyMap<string, number>;
  readonly keptUntil: Millis;
}

/** Writes down what a peer needs to answer for a session. */
export function exportSession(session: Session): HandedSession {
  const answers: HandedAnswer[] = [];
  const closed: {key: string; attempt: number}[] = [];
  for (const [key, entry] of session.entries()) {
    switch (entry.kind) {
      case KeyKind.Closed:
        closed.push({key, attempt: entry.upTo});
        break;
      case KeyKind.Job: {
        const {job} = entry;
        if (job.endedAt === undefined || job.answerExpired) break;
        answers.push({digest: job.header.digest, answer: job.toAnswer()});
        break;
      }
    }
  }
  return {session: session.id, answers, closed};
}

/** The sessions of instances that left, for which this one answers. */
export class AdoptedSessions {
  private readonly sessions = new Map<string, AdoptedSession>();

  constructor(private readonly keptMs: Millis) {}

  /** Whether this instance answers for `session`. */
  has(session: string): boolean {
    return this.sessions.has(session);
  }

  /** How many sessions this instance answers for. */
  get size(): number {
    return this.sessions.size;
  }

  /** Takes over sessions of an instance that leaves. */
  adopt(sessions: readonly HandedSession[], now: Millis): void {
    for (const {session, answers, closed} of sessions) {
      // A large session comes in several pieces.
      const known = this.sessions.get(session);
      this.sessions.set(session, {
        answers: new Map([
          ...(known?.answers ?? []),
          ...answers.map(each => [each.answer.key, each] as const),
        ]),
        closed: new Map([
          ...(known?.closed ?? []),
          ...closed.map(({key, attempt}) => [key, attempt] as const),
        ]),
        keptUntil: now + this.keptMs,
      });
    }
  }

  /** Answers a submission. Nothing is ever started. */
  submit(
    id: string,
    key: string,
    attempt: number | undefined,
    job: SubmittedJob,
  ): Result<JobAnswer, Failure> {
    const session = this.sessions.get(id);
    const handed = session?.answers.get(key);
    if (handed !== undefined) {
      if (handed.digest === digestJob(job)) return Ok(handed.answer);
      return Err(createFailure(FailureCode.ContentConflict, {key}));
    }
    const closed = session?.closed.get(key);
    if (closed !== undefined && attempt !== undefined && attempt <= closed) {
      return Err(createFailure(FailureCode.AttemptClosed, {attempt, closed}));
    }
    return Err(createFailure(FailureCode.SessionEnded, {session: id}));
  }

  /** Reads an answer that was handed over. */
  read(id: string, key: string): Result<JobAnswer, Failure> {
    const handed = this.sessions.get(id)?.answers.get(key);
    if (handed !== undefined) return Ok(handed.answer);
    return Err(createFailure(FailureCode.SessionEnded, {session: id}));
  }

  /** Forgets a session. */
  end(id: string): void {
    this.sessions.delete(id);
  }

  /** Forgets sessions that were kept long enough. */
  sweep(now: Millis): void {
    for (const [id, session] of this.sessions) {
      if (now >= session.keptUntil) this.sessions.delete(id);
    }
  }
}
