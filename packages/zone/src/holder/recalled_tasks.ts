/**
 * Remembers the tasks that other zones have recalled: a message that delegates
 * one may arrive after its recall, on an earlier connection.
 */
import {ExpiringMap, type Millis} from '@goldcrestpier/runtime';

/** How long a recall is remembered, in ms. */
const RETENTION_MS = 10_000;

/** A run of a delegated task, as its zone's holder numbered it. */
export interface NumberedRun {
  /** Token of the holder that sent the message. */
  readonly token: number;
  readonly run: number;
}

/** The recalled tasks, by the id of their record. */
export class RecalledTasks {
  private readonly recalls = new ExpiringMap<string, NumberedRun>(RETENTION_MS);

  /**
   * Records a recall, which may be late; the run may be one that has not arrived
   * yet.
   */
  add(recordId: string, {token, run}: NumberedRun, now: Millis): void {
    const known = this.recalls.get(recordId, now);
    const isKnownLater = known?.token === token && known.run > run;
    this.recalls.set(recordId, isKnownLater ? known : {token, run}, now);
  }

  /** Whether the run was recalled, so that it must not start. */
  isRecalled(
    recordId: string,
    {token, run}: NumberedRun,
    now: Millis,
  ): boolean {
    const recall = this.recalls.get(recordId, now);
    // A later holder numbers the runs of a job that is sent again anew.
    return recall !== undefined && token <= recall.token && run <= recall.run;
  }

  /** Whether the run was recalled by any holder of its zone. */
  wasRecalled(recordId: string, run: number, now: Millis): boolean {
    const recall = this.recalls.get(recordId, now);
    return recall !== undefined && run <= recall.run;
  }
}
