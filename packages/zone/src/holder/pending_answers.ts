/** The owners that wait for the result of each job. */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobAnswer} from '../protocol/index.js';

/** Requests of one owner, up to and including one. */
export interface OwnerRequests {
  readonly ownerId: string;
  readonly lastRequest: number;
}

/** One request of an owner that waits for the result of one job. */
export interface PendingAnswer {
  readonly ownerId: string;
  /** Number of the owner's request. */
  readonly request: number;
  readonly deadlineAt: Millis;
  readonly answer: (answer: JobAnswer) => void;
}

/** A pending answer, and whether its owner counts as lost. */
interface Entry extends PendingAnswer {
  isLost: boolean;
}

/** Pending answers, by the id of the job's record. */
export class PendingAnswers {
  private readonly byRecord = new Map<string, Entry[]>();

  /** Ids of the records that an owner waits for. */
  get recordIds(): readonly string[] {
    return [...this.byRecord.keys()];
  }

  /** Adds an owner that waits for a record. */
  add(recordId: string, pendingAnswer: PendingAnswer): void {
    const entries = this.findEntries(recordId);
    const entry = {...pendingAnswer, isLost: false};
    this.byRecord.set(recordId, [...entries, entry]);
  }

  /** Finds the ids of the owners that wait for a record and aren't lost. */
  findOwners(recordId: string): readonly string[] {
    const entries = this.findEntries(recordId);
    return entries.filter(({isLost}) => !isLost).map(({ownerId}) => ownerId);
  }

  /**
   * Marks an owner as lost. It is answered with all others, as it may be alive
   * after all, but its job need not go on for it.
   */
  markLost(recordId: string, ownerId: string): void {
    for (const entry of this.findEntries(recordId)) {
      if (entry.ownerId === ownerId) entry.isLost = true;
    }
  }

  /** Answers requests of one owner; returns whether any of them waited. */
  answerRequests(
    recordId: string,
    {ownerId, lastRequest}: OwnerRequests,
    answer: JobAnswer,
  ): boolean {
    return this.answerSome(
      recordId,
      entry => entry.ownerId === ownerId && entry.request <= lastRequest,
      answer,
    );
  }

  /** Answers the requests whose deadline has passed, unless they count as lost. */
  answerOverdue(recordId: string, answer: JobAnswer, now: Millis): void {
    this.answerSome(
      recordId,
      ({deadlineAt, isLost}) => !isLost && now >= deadlineAt,
      answer,
    );
  }

  /** Answers all owners that wait for a record. */
  answerAll(recordId: string, answer: JobAnswer): void {
    const entries = this.findEntries(recordId);
    this.byRecord.delete(recordId);
    for (const entry of entries) entry.answer(answer);
  }

  private answerSome(
    recordId: string,
    isMeant: (entry: Entry) => boolean,
    answer: JobAnswer,
  ): boolean {
    const entries = this.findEntries(recordId);
    const answered = entries.filter(isMeant);
    if (answered.length === 0) return false;
    const remaining = entries.filter(entry => !answered.includes(entry));
    this.byRecord.set(recordId, remaining);
    for (const entry of answered) entry.answer(answer);
    return true;
  }

  private findEntries(recordId: string): readonly Entry[] {
    return this.byRecord.get(recordId) ?? [];
  }
}
