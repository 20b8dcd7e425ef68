/**
 * A worker as the platform's protocol describes it: fencing tokens, numbered
 * runs, one lease for all runs, and polls that return the active runs and the
 * ended runs that were not acknowledged yet.
 */
import {RunEnd, StartAnswer, type WorkerReport} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {Worker} from '@goldcrestpier/dispatch';
import type {OverlapChecker} from './checker.js';
import {isCrashingTask, type CrashChecker} from './crash_checker.js';
import type {
  PollMessage,
  StartMessage,
  StopMessage,
} from './worker_messages.js';
import type {EvacuationChecker} from './evacuation.js';
import type {LabelChecker} from './label_checker.js';
import type {Random} from './random.js';
import {RunProgress} from './run_progress.js';
import type {Scheduler} from './scheduler.js';
import {
  WorkerProcess,
  type SimulatedRun,
  type WorkerKind,
} from './worker_process.js';

/** The longest lease that a worker grants, on its own clock, in ms. */
export const LEASE_MS = 1_000;
/** The longest time that stopping a run takes, in ms. */
export const STOP_MS = 50;

/** Typical duration of a task by default, in ms. */
export const USUAL_TASK_MS = 250;
/** Longest time from the start of a crashing task to the crash, in ms. */
const MAX_CRASH_DELAY_MS = 40;

/** Parameters of a worker. */
export interface SimulatedWorkerOptions {
  readonly info: Omit<Worker, 'bornAt' | 'isDraining'>;
  readonly scheduler: Scheduler;
  readonly random: Random;
  /** Typical duration of a task, in ms. */
  readonly taskMs: Millis;
  readonly checker: OverlapChecker;
  readonly crashChecker: CrashChecker;
  readonly labelChecker: LabelChecker;
  readonly evacuationChecker: EvacuationChecker;
  /** Crashes the worker, which is started again later. */
  readonly crash: (worker: SimulatedWorker) => void;
}

/** A worker whose process can crash and start again. */
export class SimulatedWorker {
  /** When a process of it last exited, which closes its connections. */
  exitedAt: Millis = -Infinity;
  private process: WorkerProcess | undefined;
  /** The kind of its next processes. */
  nextKind: WorkerKind;
  /** Factor of the time that the tasks take which are started from now on. */
  taskFactor = 1;
  /** Work done in 1 ms, in ms; 0 while it stands still. */
  private speed = 1;

  constructor(private readonly options: SimulatedWorkerOptions) {
    this.nextKind = options.info;
    this.startProcess();
  }

  /** The worker's id. */
  get id(): string {
    return this.options.info.id;
  }

  /** When its current process started; undefined when none runs. */
  get bornAt(): number | undefined {
    return this.process?.bornAt;
  }

  /** Its entry in the store; undefined when no process runs. */
  get entry(): Worker | undefined {
    if (this.process === undefined) return undefined;
    const {bornAt, isDraining, kind} = this.process;
    const {labels, capacity} = kind;
    return {...this.options.info, labels, capacity, bornAt, isDraining};
  }

  /** Ends the process and all its runs. */
  crash(): void {
    const {process} = this;
    if (process === undefined) return;
    process.hasExited = true;
    this.process = undefined;
    this.exitedAt = this.options.scheduler.now;
    for (const [task, run] of process.running) {
      this.options.checker.recordEnd(task, run, 'crashed');
    }
  }

  /** Marks the worker as draining. */
  drain(): void {
    if (this.process !== undefined) this.process.isDraining = true;
  }

  /** Changes the speed of its runs; it answers requests at speed 0, too. */
  setSpeed(speed: number): void {
    this.speed = speed;
    const {process} = this;
    if (process === undefined) return;
    for (const [task, run] of process.running) {
      run.progress.setSpeed(speed, this.options.scheduler.now);
      if (run.endEvent !== undefined) run.endEvent.isCancelled = true;
      this.scheduleEnd(process, task, run);
    }
  }

  /** Starts a new process, unless one runs. */
  startProcess(): void {
    const {scheduler, random} = this.options;
    this.process ??= new WorkerProcess(scheduler.now, random, this.nextKind);
  }

  /** Handles a start request. */
  start(message: StartMessage): {answer: StartAnswer; clockMs: Millis} {
    const process = this.requireProcess();
    const answer = this.tryStart(process, message);
    return {answer, clockMs: this.readClock(process)};
  }

  /** Stops a run or prevents its start; false if a higher token was seen. */
  stop({task, run, token}: StopMessage): boolean {
    const process = this.requireProcess();
    if (!this.tryAcceptToken(process, token)) return false;
    process.lastRuns.set(task, Math.max(run, process.lastRuns.get(task) ?? 0));
    const running = process.running.get(task);
    if (running?.run !== run || running.isStopping) return true;
    running.isStopping = true;
    const {scheduler, random} = this.options;
    scheduler.runAfter(random.between(1, STOP_MS), () =>
      this.endRun(process, task, running, RunEnd.Stopped),
    );
    return true;
  }

  /** Answers a poll within `waitMs`; undefined if a higher token was seen. */
  poll(
    message: PollMessage,
    answer: (status: WorkerReport | undefined) => void,
  ): void {
    const process = this.requireProcess();
    if (!this.tryAcceptToken(process, message.token)) return answer(undefined);
    const {lastSeen, leaseUntil, waitMs} = message;
    if (leaseUntil !== undefined) this.extendLease(process, leaseUntil);
    process.ends = process.ends.filter(({sequence}) => sequence > lastSeen);
    if (waitMs <= 0 || process.ends.length > 0)
      return answer(this.createReport(process));
    const timer = this.options.scheduler.runAfter(waitMs, () => {
      process.polls = process.polls.filter(entry => entry.timer !== timer);
      if (!process.hasExited) answer(this.createReport(process));
    });
    process.polls.push({answer, timer});
  }

  private tryStart(process: WorkerProcess, message: StartMessage): StartAnswer {
    const {task, run, needMillis, token, leaseUntil} = message;
    if (!this.tryAcceptToken(process, token)) return StartAnswer.Fenced;
    if (leaseUntil <= this.readClock(process)) return StartAnswer.Late;
    if (process.running.get(task)?.run === run) return StartAnswer.Started;
    this.extendLease(process, leaseUntil);
    if (run <= (process.lastRuns.get(task) ?? 0)) return StartAnswer.StaleRun;
    if (process.running.has(task)) return StartAnswer.StaleRun;
    if (needMillis > this.findFreeCpuMillis(process)) return StartAnswer.NoRoom;
    this.startRun(process, message);
    return StartAnswer.Started;
  }

  private startRun(process: WorkerProcess, message: StartMessage): void {
    const {task, run, needMillis, payload} = message;
    const {scheduler, random, checker, labelChecker, taskMs} = this.options;
    const isLong = random.chance(0.15);
    const usualMs = isLong
      ? random.between(600, 2_500)
      : random.between(60, 500);
    const durationMs = ((usualMs * taskMs) / USUAL_TASK_MS) * this.taskFactor;
    const startedAt = scheduler.now;
    const worker = this.id;
    const progress = new RunProgress(durationMs, this.speed, startedAt);
    if (isCrashingTask(task, payload)) this.crashSoon(process, task);
    const outcome = random.chance(0.04) ? RunEnd.Failed : RunEnd.Done;
    const details = {worker, run, startedAt, needMillis, progress, outcome};
    const state = {endEvent: undefined, isStopping: false};
    const running: SimulatedRun = {...details, ...state};
    process.running.set(task, running);
    checker.recordStart(task, running);
    labelChecker.recordStart(worker, process, message);
    this.options.evacuationChecker.recordStart(task, this.options.info.zone);
    this.scheduleEnd(process, task, running);
  }

  private scheduleEnd(
    process: WorkerProcess,
    task: string,
    run: SimulatedRun,
  ): void {
    const {scheduler} = this.options;
    const remainingMs = run.progress.findRemainingMs(scheduler.now);
    run.endEvent =
      remainingMs === undefined
        ? undefined
        : scheduler.runAfter(remainingMs, () =>
            this.endRun(process, task, run, run.outcome),
          );
  }

  private crashSoon(process: WorkerProcess, task: string): void {
    const {scheduler, random, crashChecker, crash} = this.options;
    crashChecker.recordStart(task);
    scheduler.runAfter(random.between(1, MAX_CRASH_DELAY_MS), () => {
      if (process.hasExited) return;
      crashChecker.recordCrash(task);
      crash(this);
    });
  }

  private endRun(
    process: WorkerProcess,
    task: string,
    run: SimulatedRun,
    outcome: RunEnd,
  ): void {
    if (process.hasExited || process.running.get(task) !== run) return;
    process.running.delete(task);
    process.lastRuns.set(
      task,
      Math.max(run.run, process.lastRuns.get(task) ?? 0),
    );
    process.sequence += 1;
    const {sequence} = process;
    process.ends.push({sequence, task, run: run.run, end: outcome});
    this.options.checker.recordEnd(task, run, outcome);
    const {polls} = process;
    process.polls = [];
    for (const {answer, timer} of polls) {
      timer.isCancelled = true;
      answer(this.createReport(process));
    }
  }

  /** Extends the lease by at most `LEASE_MS` from now; never shortens it. */
  private extendLease(process: WorkerProcess, until: Millis): void {
    const clock = this.readClock(process);
    const granted = Math.min(until, clock + LEASE_MS);
    if (granted <= process.leaseUntil) return;
    process.leaseUntil = granted;
    const {scheduler} = this.options;
    const waitMs = process.findTime(granted) - scheduler.now;
    scheduler.runAfter(waitMs, () => {
      if (process.leaseUntil !== granted) return;
      for (const [task, run] of [...process.running]) {
        this.endRun(process, task, run, RunEnd.LeaseExpired);
      }
    });
  }

  private tryAcceptToken(process: WorkerProcess, token: number): boolean {
    if (token < process.token) return false;
    process.token = token;
    return true;
  }

  private createReport(process: WorkerProcess): WorkerReport {
    const {now} = this.options.scheduler;
    const running = [...process.running].map(([task, {run, ...entry}]) => {
      const share = entry.progress.findShare(now);
      return {task, run, percent: Math.floor(100 * share)};
    });
    const {bornAt, ends: ended} = process;
    return {
      clockMs: this.readClock(process),
      bornAt,
      running,
      ended: [...ended],
    };
  }

  private readClock(process: WorkerProcess): Millis {
    return Math.floor(process.clockAt(this.options.scheduler.now));
  }

  private findFreeCpuMillis(process: WorkerProcess): number {
    let free = process.kind.capacity.cpuMillis;
    for (const {needMillis} of process.running.values()) free -= needMillis;
    return free;
  }

  private requireProcess(): WorkerProcess {
    if (this.process === undefined) throw new Error(`${this.id} is down`);
    return this.process;
  }
}
