/**
 * The outcomes of delegated tasks that ended recently. The holder that
 * delegated a task may be gone when the task ends; the next one asks for it.
 */
import {AbandonReason, type Outcome} from '@goldcrestpier/dispatch';
import {ExpiringMap, type Millis} from '@goldcrestpier/runtime';

/**
 * Time in which a new holder may ask, in ms: an instance waits 10 s at most
 * before it claims its zone.
 */
const RETENTION_MS = 10_000;
/** Maximum number of outcomes that are kept. */
const MAX_OUTCOMES = 10_000;

/** How a delegated run ended; one that was refused never began. */
export type DelegatedOutcome = Exclude<Outcome, {readonly kind: 'refused'}>;

interface EndedDelegation {
  readonly run: number;
  readonly outcome: DelegatedOutcome;
}

/** Keeps the outcome of the last run of each delegated task. */
export class EndedDelegations {
  /** By the id of the task's record. */
  private readonly byRecord = new ExpiringMap<string, EndedDelegation>(
    RETENTION_MS,
    MAX_OUTCOMES,
  );

  /** Records how a run ended. */
  record(recordId: string, run: number, outcome: Outcome, now: Millis): void {
    const ended = {run, outcome: toDelegatedOutcome(outcome)};
    this.byRecord.set(recordId, ended, now);
  }

  /** Finds how a run ended, if it did so recently. */
  find(
    recordId: string,
    run: number,
    now: Millis,
  ): DelegatedOutcome | undefined {
    const ended = this.byRecord.get(recordId, now);
    return ended?.run === run ? ended.outcome : undefined;
  }

  /** Forgets a task that begins anew. */
  forget(recordId: string): void {
    this.byRecord.delete(recordId);
  }
}

function toDelegatedOutcome(outcome: Outcome): DelegatedOutcome {
  switch (outcome.kind) {
    case 'completed':
    case 'failed':
    case 'abandoned':
      return outcome;
    case 'refused':
      return {kind: 'abandoned', reason: AbandonReason.RunLost};
  }
}
