/** Takes up jobs and lent tasks, with what earlier holders left of them. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  AbandonReason,
  RefusalReason,
  type Job,
  type JobProgress,
} from '../work/index.js';
import type {Run} from '../workers/index.js';
import {adoptLent, adoptOrphans} from './adoption.js';
import {abandoned, type Board} from './board.js';
import type {JobRecord} from './job_record.js';
import type {LentReport} from './lent_survey.js';
import {leaseOverAt} from './options.js';
import type {Order} from './orders.js';
import type {Placer} from './placer.js';
import {takeProgress} from './progress.js';
import {findRefusal} from './refusal.js';

/** What is known of the time before a job was handed in here. */
export interface JobPast {
  /** Another holder may have started it. */
  readonly isResumed: boolean;
  /** What that holder told when it stepped down. */
  readonly progress: JobProgress | undefined;
}

/** Takes up work for one board. */
export class Intake {
  /** Lent tasks whose ends have to be asked for anew. */
  private orders: Order[] = [];

  constructor(
    private readonly board: Board,
    private readonly placer: Placer,
    private readonly leaseMs: Millis,
  ) {}

  /** Orders that taking up work has brought since the last call. */
  takeOrders(): Order[] {
    const {orders} = this;
    this.orders = [];
    return orders;
  }

  /** Takes a job, or what is told of one that is known. */
  submit(job: Job, past: JobPast, now: Millis): void {
    const known = this.board.jobs.get(job.id);
    if (known !== undefined) return this.takePast(known, past, now);
    const refusal = past.isResumed ? undefined : findRefusal(this.board, job);
    const record = this.board.addJob(job);
    if (refusal !== undefined) {
      this.board.refuse(record, refusal, 0, now);
      return;
    }
    // The zone that lent tasks of it has lost the caller, who came here.
    for (const task of this.board.foreignRecords.of(job.id)) {
      this.board.endJob(task, abandoned(AbandonReason.OwnerLost), now);
    }
    this.takePast(record, past, now);
    adoptOrphans(this.board, record, now);
    this.adoptLent(record, now);
  }

  /** Takes over a lent task that an earlier holder of this zone started. */
  rejoinLent(job: Job, progress: JobProgress | undefined, now: Millis): void {
    if (this.board.jobs.has(job.id)) return;
    const record = this.board.addJob(job);
    this.takePast(record, {isResumed: true, progress}, now);
    adoptOrphans(this.board, record, now);
  }

  /** Takes a task that another zone lends; it starts now or is refused. */
  takeLent(job: Job, now: Millis): Order[] {
    if (this.board.jobs.has(job.id)) return [];
    const isHandedInHere = this.board.jobs.has(job.lent?.name.jobId ?? '');
    const record = this.board.addJob(job);
    const orders = isHandedInHere ? [] : this.placer.place(now);
    if (!record.hasStarted) {
      this.board.refuse(record, RefusalReason.TooLate, 0, now);
    }
    return orders;
  }

  /** Takes what another zone runs for this one since an earlier holder. */
  noteLent(zone: string, report: LentReport, now: Millis): void {
    this.board.survey.note(zone, report, now);
    for (const record of this.board.jobs.values()) this.adoptLent(record, now);
  }

  private takePast(
    record: JobRecord,
    {isResumed, progress}: JobPast,
    now: Millis,
  ): void {
    if (!isResumed) return;
    if (!record.isResumed) {
      record.isResumed = true;
      record.hasStarted = true;
      record.mayRunUnseen = true;
    }
    if (progress === undefined || !record.mayRunUnseen) return;
    const overAt = leaseOverAt(now, this.leaseMs);
    const lent = takeProgress(this.board, record, progress, overAt, now);
    this.askForEnds(record, lent);
    this.board.settle(record, now);
  }

  private adoptLent(record: JobRecord, now: Millis): void {
    this.askForEnds(record, adoptLent(this.board, record, now));
  }

  /** Has the zones that run lent tasks asked how these end. */
  private askForEnds(record: JobRecord, lent: readonly Run[]): void {
    for (const run of lent) {
      const order = {zone: run.workerId, run, record, isAdopted: true};
      this.orders.push({kind: 'lend', ...order});
    }
  }
}
