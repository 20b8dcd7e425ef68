/** The owners that wait for the result of each job. */
import type {JobAnswer} from '../protocol/index.js';

/** One owner that waits for the result of one job. */
export interface PendingAnswer {
  readonly ownerId: string;
  readonly answer: (answer: JobAnswer) => void;
}

/** Pending answers, by the id of the job's record. */
export class PendingAnswers {
  private readonly byRecord = new Map<string, PendingAnswer[]>();

  /** Ids of the records that an owner waits for. */
  get recordIds(): readonly string[] {
    return [...this.byRecord.keys()];
  }

  /** Adds an owner that waits for a record. */
  add(recordId: string, pendingAnswer: PendingAnswer): void {
    const pendingAnswers = this.byRecord.get(recordId) ?? [];
    pendingAnswers.push(pendingAnswer);
    this.byRecord.set(recordId, pendingAnswers);
  }

  /** Finds the ids of the owners that wait for a record. */
  findOwners(recordId: string): readonly string[] {
    const pendingAnswers = this.byRecord.get(recordId) ?? [];
    return pendingAnswers.map(({ownerId}) => ownerId);
  }

  /** Answers one owner; returns how many still wait. */
  answerOwner(recordId: string, ownerId: string, answer: JobAnswer): number {
    const pendingAnswers = this.byRecord.get(recordId) ?? [];
    const remaining = pendingAnswers.filter(
      pendingAnswer => pendingAnswer.ownerId !== ownerId,
    );
    for (const pendingAnswer of pendingAnswers) {
      if (pendingAnswer.ownerId === ownerId) pendingAnswer.answer(answer);
    }
    this.byRecord.set(recordId, remaining);
    return remaining.length;
  }

  /** Answers all owners that wait for a record. */
  answerAll(recordId: string, answer: JobAnswer): void {
    const pendingAnswers = this.byRecord.get(recordId) ?? [];
    this.byRecord.delete(recordId);
    for (const pendingAnswer of pendingAnswers) pendingAnswer.answer(answer);
  }
}
