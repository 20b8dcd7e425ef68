/**
 * A worker as the platform's protocol describes it: fencing tokens, runs by
 * number, one lease for all that runs there, and lists of what runs and of what
 * has ended, with acknowledgement.
 */
import {RunEnd, StartAnswer, type Look} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {Worker} from '@goldcrestpier/dispatch';
import type {Checker, LiveRun} from './checker.js';
import {PLAY_BEGINS_AT} from './globals.js';
import type {Random} from './random.js';
import type {Event, Scheduler} from './scheduler.js';

/** The longest lease that a worker gives, on its own clock. */
export const LEASE_MS = 1_000;
/** The longest time that a stop takes. */
export const STOP_MS = 50;

/** An order to start a run, as it comes over the network. */
export interface StartMessage {
  readonly task: string;
  readonly run: number;
  readonly needMillis: number;
  readonly token: number;
  readonly leaseUntil: Millis;
}

/** An order to stop a run. */
export interface StopMessage {
  readonly task: string;
  readonly run: number;
  readonly token: number;
}

/** A look at all that runs. */
export interface HoldMessage {
  readonly token: number;
  readonly lastSeen: number;
  readonly leaseUntil: Millis | undefined;
  readonly waitMs: Millis;
}

interface PlayedRun extends LiveRun {
  readonly needMillis: number;
  readonly worksMs: Millis;
  isStopping: boolean;
}

interface Waiting {
  readonly answer: (look: Look) => void;
  readonly timer: Event;
}

/** What a worker needs. */
export interface PlayedWorkerOptions {
  readonly info: Omit<Worker, 'bornAt' | 'isDraining'>;
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly checker: Checker;
}

/** Everything that a worker knows; a new life begins with nothing. */
class Life {
  readonly bornAt: number;
  readonly running = new Map<string, PlayedRun>();
  /** The highest run of each task that has ended or was stopped here. */
  readonly spent = new Map<string, number>();
  ended: Look['ended'][number][] = [];
  sequence = 0;
  token = 0;
  leaseUntil: Millis = 0;
  waiting: Waiting[] = [];
  /** Drift of its clock and when that stood at 0. */
  readonly rate: number;
  readonly clockZero: Millis;
  isOver = false;
  isDraining = false;

  constructor(now: Millis, random: Random) {
    this.bornAt = PLAY_BEGINS_AT + Math.floor(now);
    this.rate = random.between(0.98, 1);
    this.clockZero = now;
  }

  clockAt(now: Millis): Millis {
    return (now - this.clockZero) * this.rate;
  }

  /** The time at which its clock shows `clock`. */
  timeOf(clock: Millis): Millis {
    return this.clockZero + clock / this.rate;
  }
}

/** One worker. */
export class PlayedWorker {
  private life: Life | undefined;

  constructor(private readonly options: PlayedWorkerOptions) {
    this.begin();
  }

  /** Its name. */
  get id(): string {
    return this.options.info.id;
  }

  /** When its present life began; undefined where no process listens. */
  get bornAt(): number | undefined {
    return this.life?.bornAt;
  }

  /** How it lists itself. */
  get entry(): Worker | undefined {
    if (this.life === undefined) return undefined;
    const {bornAt, isDraining} = this.life;
    return {...this.options.info, bornAt, isDraining};
  }

  /** Ends its life: all that runs there is gone. */
  crash(): void {
    const {life} = this;
    if (life === undefined) return;
    life.isOver = true;
    this.life = undefined;
    for (const [task, run] of life.running) {
      this.options.checker.ended(task, run, 'crashed');
    }
  }

  /** Says from now on that it leaves. */
  drain(): void {
    if (this.life !== undefined) this.life.isDraining = true;
  }

  /** Begins a new life. */
  begin(): void {
    const {scheduler, random} = this.options;
    this.life ??= new Life(scheduler.now, random);
  }

  /** Starts a run. */
  start(message: StartMessage): {answer: StartAnswer; clockMs: Millis} {
    const life = this.present();
    const answer = this.tryStart(life, message);
    return {answer, clockMs: this.clock(life)};
  }

  /** Stops a run, or keeps it from ever starting; false when fenced. */
  stop({task, run, token}: StopMessage): boolean {
    const life = this.present();
    if (!this.admit(life, token)) return false;
    life.spent.set(task, Math.max(run, life.spent.get(task) ?? 0));
    const running = life.running.get(task);
    if (running?.run !== run || running.isStopping) return true;
    running.isStopping = true;
    const {scheduler, random} = this.options;
    scheduler.later(random.between(1, STOP_MS), () =>
      this.end(life, task, running, RunEnd.Stopped),
    );
    return true;
  }

  /** Answers a look, perhaps once a run ends; undefined when fenced. */
  hold(message: HoldMessage, answer: (look: Look | undefined) => void): void {
    const life = this.present();
    if (!this.admit(life, message.token)) return answer(undefined);
    const {lastSeen, leaseUntil, waitMs} = message;
    if (leaseUntil !== undefined) this.extend(life, leaseUntil);
    life.ended = life.ended.filter(({sequence}) => sequence > lastSeen);
    if (waitMs <= 0 || life.ended.length > 0) return answer(this.look(life));
    const timer = this.options.scheduler.later(waitMs, () => {
      life.waiting = life.waiting.filter(entry => entry.timer !== timer);
      if (!life.isOver) answer(this.look(life));
    });
    life.waiting.push({answer, timer});
  }

  private tryStart(life: Life, message: StartMessage): StartAnswer {
    const {task, run, needMillis, token, leaseUntil} = message;
    if (!this.admit(life, token)) return StartAnswer.Fenced;
    if (leaseUntil <= this.clock(life)) return StartAnswer.Late;
    if (life.running.get(task)?.run === run) return StartAnswer.Started;
    this.extend(life, leaseUntil);
    if (run <= (life.spent.get(task) ?? 0)) return StartAnswer.OldRun;
    if (life.running.has(task)) return StartAnswer.OldRun;
    if (needMillis > this.freeMillis(life)) return StartAnswer.NoRoom;
    this.begins(life, message);
    return StartAnswer.Started;
  }

  private begins(life: Life, {task, run, needMillis}: StartMessage): void {
    const {scheduler, random, checker} = this.options;
    const isLong = random.chance(0.15);
    const worksMs = isLong
      ? random.between(600, 2_500)
      : random.between(60, 500);
    const startedAt = scheduler.now;
    const worker = this.id;
    const begun = {worker, run, startedAt, needMillis, worksMs};
    const running: PlayedRun = {...begun, isStopping: false};
    life.running.set(task, running);
    checker.started(task, running);
    const how = random.chance(0.04) ? RunEnd.Failed : RunEnd.Done;
    scheduler.later(worksMs, () => this.end(life, task, running, how));
  }

  private end(life: Life, task: string, run: PlayedRun, how: RunEnd): void {
    if (life.isOver || life.running.get(task) !== run) return;
    life.running.delete(task);
    life.spent.set(task, Math.max(run.run, life.spent.get(task) ?? 0));
    life.sequence += 1;
    const {sequence} = life;
    life.ended.push({sequence, task, run: run.run, end: how});
    this.options.checker.ended(task, run, how);
    const {waiting} = life;
    life.waiting = [];
    for (const {answer, timer} of waiting) {
      timer.isCancelled = true;
      answer(this.look(life));
    }
  }

  /** Only ever moves the end of the lease back, and no further than allowed. */
  private extend(life: Life, until: Millis): void {
    const clock = this.clock(life);
    const granted = Math.min(until, clock + LEASE_MS);
    if (granted <= life.leaseUntil) return;
    life.leaseUntil = granted;
    const {scheduler} = this.options;
    const waitMs = life.timeOf(granted) - scheduler.now;
    scheduler.later(waitMs, () => {
      if (life.leaseUntil !== granted) return;
      for (const [task, run] of [...life.running]) {
        this.end(life, task, run, RunEnd.Lapsed);
      }
    });
  }

  private admit(life: Life, token: number): boolean {
    if (token < life.token) return false;
    life.token = token;
    return true;
  }

  private look(life: Life): Look {
    const {now} = this.options.scheduler;
    const running = [...life.running].map(([task, {run, ...entry}]) => {
      const share = (now - entry.startedAt) / entry.worksMs;
      return {task, run, percent: Math.floor(100 * Math.min(share, 1))};
    });
    const {bornAt, ended} = life;
    return {clockMs: this.clock(life), bornAt, running, ended: [...ended]};
  }

  private clock(life: Life): Millis {
    return Math.floor(life.clockAt(this.options.scheduler.now));
  }

  private freeMillis(life: Life): number {
    let free = this.options.info.capacity.cpuMillis;
    for (const {needMillis} of life.running.values()) free -= needMillis;
    return free;
  }

  private present(): Life {
    if (this.life === undefined) throw new Error(`${this.id} is down`);
    return this.life;
  }
}
