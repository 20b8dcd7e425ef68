/** Who waits for the end of each job. */
import type {JobAnswer} from '../protocol/index.js';

/** One owner that waits for one job. */
export interface Waiter {
  readonly ownerId: string;
  readonly answer: (answer: JobAnswer) => void;
}

/** All that wait, by the job's record. */
export class Waiters {
  private readonly byRecord = new Map<string, Waiter[]>();

  /** The records that somebody waits for. */
  get records(): readonly string[] {
    return [...this.byRecord.keys()];
  }

  /** Adds one that waits. */
  add(recordId: string, waiter: Waiter): void {
    const waiters = this.byRecord.get(recordId) ?? [];
    waiters.push(waiter);
    this.byRecord.set(recordId, waiters);
  }

  /** The owners that wait for a record. */
  ownersOf(recordId: string): readonly string[] {
    const waiters = this.byRecord.get(recordId) ?? [];
    return waiters.map(({ownerId}) => ownerId);
  }

  /** Answers one owner; tells how many still wait. */
  answerOwner(recordId: string, ownerId: string, answer: JobAnswer): number {
    const waiters = this.byRecord.get(recordId) ?? [];
    const left = waiters.filter(waiter => waiter.ownerId !== ownerId);
    for (const waiter of waiters) {
      if (waiter.ownerId === ownerId) waiter.answer(answer);
    }
    this.byRecord.set(recordId, left);
    return left.length;
  }

  /** Answers all that wait for a record. */
  answerAll(recordId: string, answer: JobAnswer): void {
    const waiters = this.byRecord.get(recordId) ?? [];
    this.byRecord.delete(recordId);
    for (const waiter of waiters) waiter.answer(answer);
  }
}
