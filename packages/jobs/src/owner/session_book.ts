/** The sessions of one incarnation, from their opening to their end. */
import {
  createFailure,
  FailureCode,
  formatSession,
  type Failure,
  type Incarnation,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {Session} from '../sessions/index.js';
import {describeMissing} from './missing_session.js';
import type {JobLimits} from './types.js';

/** Keeps the sessions that can be used. */
export class SessionBook {
  private readonly sessions = new Map<string, Session>();
  private lastSequence = 0;

  constructor(
    private readonly self: Incarnation,
    private readonly limits: JobLimits,
  ) {}

  /** How many sessions can be used. */
  get size(): number {
    return this.sessions.size;
  }

  /** The sessions that can be used. */
  list(): Iterable<Session> {
    return this.sessions.values();
  }

  /** Opens a session, unless too many are open. */
  open(now: Millis): Result<Session, Failure> {
    const {maxSessions, maxCopyAgeMs} = this.limits;
    if (this.sessions.size >= maxSessions) {
      return Err(
        createFailure(
          FailureCode.TooManySessions,
          {limit: maxSessions},
          {retryAfterMs: maxCopyAgeMs},
        ),
      );
    }
    this.lastSequence += 1;
    const identity = {owner: this.self, sequence: this.lastSequence};
    const session = new Session(formatSession(identity), now);
    this.sessions.set(session.id, session);
    return Ok(session);
  }

  /** Finds a session and notes its use; an error says why it has none. */
  find(id: string, now: Millis): Result<Session, Failure> {
    const session = this.sessions.get(id);
    if (session === undefined) {
      return Err(describeMissing(id, this.self, this.lastSequence));
    }
    session.touch(now);
    return Ok(session);
  }

  /** Ends a session; every later use of it is refused. */
  end(id: string): void {
    this.sessions.delete(id);
  }

  /** Ends idle sessions and drops answers that were kept long enough. */
  sweep(now: Millis): void {
    for (const [id, session] of this.sessions) {
      if (session.isIdle(this.limits.sessionIdleMs, now)) this.end(id);
      else session.dropOldAnswers(this.limits.answersKeptMs, now);
    }
  }
}
