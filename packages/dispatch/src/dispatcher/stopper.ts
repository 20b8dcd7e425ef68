/** Decides which orders to stop are due. */
import type {Millis} from '@goldcrestpier/runtime';
import {RunPhase, type WorkerRecord} from '../workers/index.js';
import type {Board} from './board.js';
import type {Order} from './orders.js';

/** How long after a stop order went out it is sent again, in ms. */
const STOP_AGAIN_MS = 200;
/** How long runs of an earlier holder wait for their jobs, in ms. */
const ADOPTION_MS = 500;

/** Stops what is not wanted any more. */
export class Stopper {
  /** When stops of runs that nobody wants last went out, by worker and task. */
  private readonly orphanStops = new Map<string, Millis>();

  /** `heldSince` is when this instance became the holder. */
  constructor(
    private readonly board: Board,
    private readonly heldSince: Millis,
  ) {}

  /** Whether anything that a worker runs shall go on, as far as is known. */
  isWanted({runs, orphans}: WorkerRecord, now: Millis): boolean {
    if (orphans.size > 0 && this.isAdopting(now)) return true;
    return [...runs.values()].some(({phase}) => isToGoOn(phase));
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
        orders.push({kind: 'recall', zone, run});
      }
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
