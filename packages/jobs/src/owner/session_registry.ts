/** The open sessions of one incarnation. */
import {
  createFailure,
  FailureCode,
  formatSessionId,
  type Failure,
  type Incarnation,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {Session} from '../sessions/index.js';
import {createMissingSessionFailure} from './missing_session.js';
import type {JobLimits} from './types.js';

/** Opens, finds and ends sessions, up to the configured maximum. */
export class SessionRegistry {
  private readonly sessions = new Map<string, Session>();
  private lastSequence = 0;

  constructor(
    private readonly self: Incarnation,
    private readonly limits: JobLimits,
  ) {}

  /** Number of open sessions. */
  get size(): number {
    return this.sessions.size;
  }

  /** Lists the open sessions. */
  list(): Iterable<Session> {
    return this.sessions.values();
  }

  /** Opens a session; fails when the maximum number is reached. */
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
    const session = new Session(formatSessionId(identity), now);
    this.sessions.set(session.id, session);
    return Ok(session);
  }

  /** Finds a session and resets its idle time; fails if it does not exist. */
  find(id: string, now: Millis): Result<Session, Failure> {
    const session = this.sessions.get(id);
    if (session === undefined) {
      return Err(createMissingSessionFailure(id, this.self, this.lastSequence));
    }
    session.touch(now);
    return Ok(session);
  }

  /** Ends a session; later requests for it fail. */
  end(id: string): void {
    this.sessions.delete(id);
  }

  /** Ends idle sessions and drops answers past their retention time. */
  sweep(now: Millis): void {
    for (const [id, session] of this.sessions) {
      if (session.isIdle(this.limits.sessionIdleMs, now)) this.end(id);
      else session.expireAnswers(this.limits.answersKeptMs, now);
    }
  }
}
