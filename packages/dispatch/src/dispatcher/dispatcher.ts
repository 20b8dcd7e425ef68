/**
 * Decides for the workers of one zone: which job is refused, which task starts
 * where, and what is stopped. It sends nothing itself: the orders that `tick`
 * returns are carried out by whoever holds the workers, and their answers come
 * back through the other methods.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {Neighbours, type Vacancy, type ZoneRoom} from '../neighbours/index.js';
import type {AbandonReason, Job, JobProgress} from '../work/index.js';
import {
  RunEnd,
  RunPhase,
  StartAnswer,
  WorkerRecord,
  type Look,
  type Run,
  type Worker,
} from '../workers/index.js';
import {Board, type DispatchObserver, type EndedJob} from './board.js';
import {StrikeReason} from './health.js';
import {Intake} from './intake.js';
import type {JobRecord} from './job_record.js';
import {takeLook} from './looks.js';
import {
  LENT_OVER_MS,
  leaseOverAt,
  stopOverAt,
  type DispatcherOptions,
} from './options.js';
import type {Order} from './orders.js';
import type {LentReport} from './lent_survey.js';
import {noteNotStarted} from './not_started.js';
import {
  endLostTasks,
  endOverdueJobs,
  endOverdueRuns,
  giveUp,
} from './overdue.js';
import {Placer} from './placer.js';
import {describeProgress} from './progress.js';
import {Stopper} from './stopper.js';
import {listVacancies} from './vacancies.js';

/**
 * By then a holder before that lives has heard of this one, was turned away by
 * a worker, or has given up the jobs of owners that it can't hear, in ms.
 */
const DEPOSED_MS = 600;

/** Answers after which the order may be carried out all the same. */
const proveNothing: ReadonlySet<StartAnswer> = new Set([
  StartAnswer.Unanswered,
  StartAnswer.NotListening,
]);

/** Decides for the workers that one instance holds. */
export class Dispatcher {
  private readonly board: Board;
  private readonly neighbours = new Neighbours();
  private readonly placer: Placer;
  private readonly intake: Intake;
  private readonly stopper: Stopper;

  /** `heldSince` is when this instance became the holder. */
  constructor(
    private readonly options: DispatcherOptions,
    heldSince: Millis,
    observer: DispatchObserver,
  ) {
    this.board = new Board(observer);
    this.placer = new Placer(this.board, this.neighbours, {
      workersMs: leaseOverAt(DEPOSED_MS, options.leaseMs),
      lentMs: LENT_OVER_MS,
    });
    this.intake = new Intake(this.board, this.placer, options.leaseMs);
    this.stopper = new Stopper(this.board, heldSince);
  }

  /** The workers and what runs there. */
  get workers(): ReadonlyMap<string, WorkerRecord> {
    return this.board.workers;
  }

  /** The jobs that have not ended. */
  get jobs(): ReadonlyMap<string, JobRecord> {
    return this.board.jobs;
  }

  /** Jobs that have ended since the last call. */
  takeEnded(): EndedJob[] {
    return this.board.takeEnded();
  }

  /** Takes the present list of workers. */
  setWorkers(list: readonly Worker[], now: Millis): void {
    const listed = new Set(list.map(({id}) => id));
    for (const worker of list) this.setWorker(worker, now);
    for (const [id, record] of this.board.workers) {
      if (listed.has(id)) continue;
      // Its runs end by their leases; the record goes when none is left.
      record.info = {...record.info, isDraining: true};
      if (record.isForgettable(now)) this.board.dropWorker(id);
    }
  }

  /** The list of workers is as new as it can be had: tasks may be placed. */
  confirmWorkers(): void {
    this.board.isListConfirmed = true;
  }

  /**
   * Takes a job. `isResumed`: another holder may have started it, and may have
   * told by `progress` what it knew.
   */
  submit(
    job: Job,
    isResumed: boolean,
    now: Millis,
    progress?: JobProgress,
  ): void {
    this.intake.submit(job, {isResumed, progress}, now);
  }

  /** Whether no worker can run anything that an earlier holder started. */
  areEarlierRunsOver(now: Millis): boolean {
    return this.placer.areEarlierRunsOver(now);
  }

  /** What is known here of a job, for the holder that comes next. */
  describeProgress(recordId: string, now: Millis): JobProgress | undefined {
    const record = this.board.jobs.get(recordId);
    if (record === undefined) return undefined;
    return describeProgress(record, this.placer.isSettled(record, now), now);
  }

  /** Takes over a lent task that an earlier holder of this zone started. */
  rejoinLent(job: Job, now: Millis, progress?: JobProgress): void {
    this.intake.rejoinLent(job, progress, now);
  }

  /** Takes a task that another zone lends; it starts now or is refused. */
  takeLent(job: Job, now: Millis): Order[] {
    return this.intake.takeLent(job, now);
  }

  /** Gives a job up; it ends once nothing of it runs. */
  cancel(recordId: string, reason: AbandonReason, now: Millis): void {
    const record = this.board.jobs.get(recordId);
    if (record) giveUp(this.board, record, reason, now);
  }

  /** Decides what is due now. */
  tick(now: Millis): Order[] {
    this.board.forgetOld(now);
    endOverdueRuns(this.board, now);
    endLostTasks(this.board, this.placer, now);
    endOverdueJobs(this.board, now);
    const asked = this.intake.takeOrders();
    const placed = this.placer.place(now);
    return [...asked, ...placed, ...this.stopper.stop(now)];
  }

  /** How long a worker's runs may go on; undefined when none of them shall. */
  chooseLease(workerId: string, now: Millis): Millis | undefined {
    const worker = this.board.workers.get(workerId);
    if (worker === undefined) return undefined;
    return this.stopper.chooseLease(worker, this.options.leaseMs, now);
  }

  /** Notes an order that gives a lease, at the moment it is sent. */
  noteLease(workerId: string, now: Millis): void {
    const worker = this.board.workers.get(workerId);
    if (worker === undefined) return;
    const clockAgeMs = worker.clockAgeAt(now);
    const overAt = leaseOverAt(now, this.options.leaseMs, clockAgeMs);
    worker.leasesOverAt = Math.max(worker.leasesOverAt, overAt);
  }

  /** Notes the answer to an order to start. */
  startAnswered(run: Run, answer: StartAnswer, now: Millis): void {
    // A refused connection may come from a cut in the network.
    if (proveNothing.has(answer)) {
      if (run.phase === RunPhase.Starting) run.phase = RunPhase.Stopping;
      this.board.strike(run, StrikeReason.OrderUnanswered, now);
    } else if (answer !== StartAnswer.Started) {
      noteNotStarted(this.board, run, answer, now);
      this.board.endRun(run, 'refused', now);
    } else if (run.phase === RunPhase.Starting) {
      run.phase = RunPhase.Running;
      run.confirmedAt = now;
    }
  }

  /** Notes that a worker has taken an order to stop a run. */
  stopTaken(run: Run, now: Millis): void {
    run.phase = RunPhase.StopTaken;
    run.confirmedAt = now;
    run.overAt = stopOverAt(now, this.options.stopMs);
  }

  /** Notes what a worker answered to a look that was sent at `sentAt`. */
  looked(workerId: string, look: Look, sentAt: Millis, now: Millis): void {
    const worker = this.board.workers.get(workerId);
    if (worker === undefined) return;
    // Until this look an earlier holder may have given leases there.
    if (!worker.isHeld && look.running.length > 0) {
      this.noteLease(workerId, now);
    }
    takeLook(this.board, worker, look, sentAt, now);
  }

  /** Notes a look that got no answer. */
  lookFailed(workerId: string): void {
    const worker = this.board.workers.get(workerId);
    if (worker !== undefined) worker.isSilent = true;
  }

  /** Takes what the holder of another zone tells of its free workers. */
  tellRoom(room: ZoneRoom, now: Millis): void {
    this.neighbours.tell(room, now);
  }

  /** Free room on each worker of a service, for other zones. */
  findVacancies(service: string, now: Millis): Vacancy[] {
    return listVacancies(this.board, service, now);
  }

  /** Places no resumed job until these zones have told what they run for it. */
  expectLent(zones: readonly string[]): void {
    this.board.survey.expect(zones);
  }

  /** Takes what another zone runs for this one since an earlier holder. */
  noteLent(zone: string, report: LentReport, now: Millis): void {
    this.intake.noteLent(zone, report, now);
  }

  /** Notes how a lent task ended. */
  lentEnded(run: Run, end: RunEnd | 'refused', now: Millis): void {
    if (end === 'refused') this.neighbours.noteRefusal(run.workerId);
    this.board.endRun(run, end, now);
  }

  /** Notes that the holder that has a lent task can't be asked any more. */
  lentLost(run: Run, now: Millis): void {
    this.neighbours.noteRefusal(run.workerId);
    run.phase = RunPhase.StopTaken;
    run.overAt = now + LENT_OVER_MS;
  }

  private setWorker(worker: Worker, now: Millis): void {
    this.board.durations.setKind(worker.id, worker.kind);
    const known = this.board.workers.get(worker.id);
    if (known === undefined) {
      this.board.workers.set(worker.id, new WorkerRecord(worker));
      return;
    }
    const {bornAt} = known.info;
    known.info = {...worker, bornAt: Math.max(bornAt, worker.bornAt)};
    // What runs there may be the new life's: its next look tells.
    if (bornAt < worker.bornAt) known.beginLife(now);
  }
}
