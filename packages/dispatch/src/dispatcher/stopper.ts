/** Decides which orders to stop are due. */
import type {Millis} from '@goldcrestpier/runtime';
import {RunPhase, type WorkerRecord} from '../workers/index.js';
import type {Board} from './board.js';
import type {Order} from './orders.js';

/** How long after a stop order went out it is sent again, in ms. */
const STOP_AGAIN_MS = 200;
/** How long runs of an earlier holder wait for their jobs, in ms. */
const ADOPTION_MS = 500;
/** Time for the order to stop, added to the lease of unclaimed runs, in ms. */
const UNCLAIMED_MARGIN_MS = 100;

/** Stops what is not wanted any more. */
export class Stopper {
  /** When stops of runs that nobody wants last went out, by worker and task. */
  private readonly orphanStops = new Map<string, Millis>();

  /** `heldSince` is when this instance became the holder. */
  constructor(
    private readonly board: Board,
    private readonly heldSince: Millis,
  ) {}

  /**
   * How long what a worker runs may go on without another look; undefined when
   * nothing of it shall. What nobody has claimed may lapse once it has to stop.
   */
  chooseLease(
    {runs, orphans}: WorkerRecord,
    leaseMs: Millis,
    now: Millis,
  ): Millis | undefined {
    if (orphans.size > 0 && this.isAdopting(now)) {
      const leftMs = this.heldSince + ADOPTION_MS - now;
      return Math.min(leaseMs, leftMs + UNCLAIMED_MARGIN_MS);
    }
    const isWanted = [...runs.values()].some(({phase}) => isToGoOn(phase));
    return isWanted ? leaseMs : undefined;
  }

  /** Orders to stop that are due. */
  stop(now: Millis): Order[] {
    const orders: Order[] = [];
    this.forgetOldStops(now);
    for (const worker of this.board.workers.values()) {
      this.stopRuns(orders, worker, now);
      if (!this.isAdopting(now)) this.stopOrphans(orders, worker, now);
    }
    this.recall(orders, now);
    if (!this.isAdopting(now)) this.recallUnclaimed(orders, now);
    return orders;
  }

  /** Whether jobs may still claim what an earlier holder started. */
  private isAdopting(now: Millis): boolean {
    return now < this.heldSince + ADOPTION_MS;
  }

  private stopRuns(orders: Order[], worker: WorkerRecord, now: Millis): void {
    const workerId = worker.info.id;
    for (const run of worker.runs.values()) {
      const isDue = now - run.stopSentAt >= STOP_AGAIN_MS;
      if (run.phase !== RunPhase.Stopping || !isDue) continue;
      run.stopSentAt = now;
      const {key, run: runNumber} = run;
      orders.push({kind: 'stop', workerId, key, runNumber, run});
    }
  }

  private stopOrphans(
    orders: Order[],
    worker: WorkerRecord,
    now: Millis,
  ): void {
    const workerId = worker.info.id;
    for (const [key, runNumber] of worker.orphans) {
      const stopKey = `${workerId} ${key}`;
      if (this.orphanStops.has(stopKey)) continue;
      this.orphanStops.set(stopKey, now);
      orders.push({kind: 'stop', workerId, key, runNumber, run: undefined});
    }
  }

  private forgetOldStops(now: Millis): void {
    for (const [key, sentAt] of this.orphanStops) {
      if (now - sentAt >= STOP_AGAIN_MS) this.orphanStops.delete(key);
    }
  }

  private recall(orders: Order[], now: Millis): void {
    for (const record of this.board.jobs.values()) {
      if (record.ending === undefined) continue;
      for (const run of record.runs()) {
        const {lentTo: zone} = run;
        if (zone === undefined || run.phase !== RunPhase.Stopping) continue;
        if (now - run.stopSentAt < STOP_AGAIN_MS) continue;
        run.stopSentAt = now;
        orders.push({kind: 'recall', zone, key: run.key, run});
      }
    }
  }

  /** Tasks that an earlier holder lent, of jobs that nobody hands in. */
  private recallUnclaimed(orders: Order[], now: Millis): void {
    for (const {key, zone} of this.board.survey.takeRecalls(now)) {
      orders.push({kind: 'recall', zone, key, run: undefined});
    }
  }
}

function isToGoOn(phase: RunPhase): boolean {
  switch (phase) {
    case RunPhase.Starting:
    case RunPhase.Running:
      return true;
    case RunPhase.Stopping:
    case RunPhase.StopTaken:
      return false;
  }
}
