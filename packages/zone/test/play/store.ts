/**
 * The platform's store: entries of workers and of instances. It may be away,
 * and its entries may lapse meanwhile; they are back some time after it is.
 */
import type {Worker} from '@goldcrestpier/dispatch';
import {startReadingTimeout, type Millis} from '@goldcrestpier/runtime';
import type {Registration} from '../../src/ports/index.js';
import {STORE, type Network} from './network.js';
import type {Random} from './random.js';
import type {Process, Scheduler} from './scheduler.js';
import type {PlayedWorker} from './worker.js';

/** How often a worker writes its entry, and when a silent one is removed. */
const BEAT_MS = 1_500;
const SILENT_MS = 3 * BEAT_MS;
/** Entries that lapsed are back within this time. */
const BACK_MS = 2_000;
/** How often the store looks for entries that have ended. */
const SWEEP_MS = 100;
/** A read that may be stale is at most so old. */
const STALEST_MS = 2_000;

/** All entries at one time. */
export interface Snapshot {
  readonly workers: readonly Worker[];
  readonly instances: readonly Registration[];
}

interface InstanceEntry {
  readonly registration: Registration;
  leaseUntil: Millis;
}

interface WorkerEntry {
  readonly worker: Worker;
  heardAt: Millis;
}

/** What a store needs. */
export interface PlayedStoreOptions {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  readonly workers: ReadonlyMap<string, PlayedWorker>;
}

/** The store. */
export class PlayedStore {
  private downUntil: Millis = 0;
  private isSilent = false;
  private readonly workers = new Map<string, WorkerEntry>();
  private readonly instances = new Map<string, InstanceEntry>();
  private history: {readonly at: Millis; readonly snapshot: Snapshot}[] = [];

  constructor(private readonly options: PlayedStoreOptions) {
    for (const worker of options.workers.values()) this.beat(worker);
    this.sweep();
  }

  /** Takes the store away; `lapses`: its entries are lost meanwhile. */
  takeAway(ms: Millis, lapses: boolean): void {
    const {scheduler, random} = this.options;
    this.downUntil = Math.max(this.downUntil, scheduler.now + ms);
    this.isSilent = random.chance(0.5);
    scheduler.later(ms, () => {
      if (lapses) this.loseEntries();
      else this.renewAll();
    });
  }

  /** Whether it answers. */
  get isDown(): boolean {
    return this.options.scheduler.now < this.downUntil;
  }

  /** Carries out a call of a process; undefined when it brings nothing. */
  ask<Answer>(
    machine: string,
    process: Process,
    timeoutMs: Millis,
    apply: () => Answer,
  ): Promise<{readonly value: Answer} | undefined> {
    const {scheduler, network} = this.options;
    return new Promise(resolve => {
      const cancelTimeout = startReadingTimeout(end, timeoutMs);
      function end(result?: {readonly value: Answer}): void {
        cancelTimeout();
        resolve(result);
      }
      if (!network.isOpen(machine, STORE)) return;
      scheduler.deliver(network.arrivesAt(machine, STORE), undefined, () => {
        if (this.isDown && this.isSilent) return;
        const result = this.isDown ? undefined : {value: apply()};
        if (!network.isOpen(STORE, machine)) return;
        const backAt = network.arrivesAt(STORE, machine);
        scheduler.deliver(backAt, process, () => end(result));
      });
    });
  }

  /** All entries now, or as they were a while ago. */
  read(mayBeStale: boolean): Snapshot {
    const {scheduler, random} = this.options;
    const present = this.snapshot();
    if (!mayBeStale || !random.chance(0.5)) return present;
    const asOf = scheduler.now - random.between(0, STALEST_MS);
    const old = this.history.filter(({at}) => at <= asOf).at(-1);
    return old?.snapshot ?? present;
  }

  /** Writes the entry of an instance under a lease. */
  register(registration: Registration, leaseMs: Millis): void {
    const leaseUntil = this.options.scheduler.now + leaseMs;
    this.instances.set(registration.id, {registration, leaseUntil});
  }

  /** Renews a lease; false when it has ended. */
  renew(id: string, leaseMs: Millis): boolean {
    const entry = this.instances.get(id);
    if (entry === undefined) return false;
    entry.leaseUntil = this.options.scheduler.now + leaseMs;
    return true;
  }

  /** Removes the entry of an instance. */
  remove(id: string): void {
    this.instances.delete(id);
  }

  /** Writes a worker's entry at once. */
  enter(worker: PlayedWorker): void {
    const {scheduler, network} = this.options;
    const {entry} = worker;
    if (entry === undefined || this.isDown) return;
    if (!network.isOpen(worker.id, STORE)) return;
    this.workers.set(worker.id, {worker: entry, heardAt: scheduler.now});
  }

  private beat(worker: PlayedWorker): void {
    this.enter(worker);
    const {scheduler, random} = this.options;
    scheduler.later(BEAT_MS * random.between(0.9, 1.1), () =>
      this.beat(worker),
    );
  }

  private loseEntries(): void {
    const {scheduler, random, workers} = this.options;
    this.workers.clear();
    this.instances.clear();
    for (const worker of workers.values()) {
      scheduler.later(random.between(0, BACK_MS), () => this.enter(worker));
    }
  }

  /** Leases pause while the store is away. */
  private renewAll(): void {
    const {now} = this.options.scheduler;
    for (const entry of this.workers.values()) entry.heardAt = now;
    for (const entry of this.instances.values()) {
      entry.leaseUntil = Math.max(entry.leaseUntil, now + BEAT_MS);
    }
  }

  private sweep(): void {
    const {scheduler} = this.options;
    const {now} = scheduler;
    if (!this.isDown) {
      for (const [id, {heardAt}] of this.workers) {
        if (now - heardAt > SILENT_MS) this.workers.delete(id);
      }
      for (const [id, {leaseUntil}] of this.instances) {
        if (now > leaseUntil) this.instances.delete(id);
      }
    }
    this.history = this.history.filter(({at}) => at >= now - STALEST_MS);
    this.history.push({at: now, snapshot: this.snapshot()});
    scheduler.later(SWEEP_MS, () => this.sweep());
  }

  private snapshot(): Snapshot {
    return {
      workers: [...this.workers.values()].map(({worker}) => worker),
      instances: [...this.instances.values()].map(
        ({registration}) => registration,
      ),
    };
  }
}
