/**
 * The platform's store with the entries of workers and instances. In an outage
 * its entries may expire; they are registered again some time after the outage.
 */
import type {Worker} from '@goldcrestpier/dispatch';
import {startTimeoutAfterReads, type Millis} from '@goldcrestpier/runtime';
import type {EvacuatedZones, Registration} from '../../src/ports/index.js';
import {STORE, type Network} from './network.js';
import type {Random} from './random.js';
import type {SimulatedProcess, Scheduler} from './scheduler.js';
import type {SimulatedWorker} from './worker.js';

/** How often a worker writes its entry, and when an old one is removed, in ms. */
const HEARTBEAT_INTERVAL_MS = 1_500;
const WORKER_EXPIRY_MS = 3 * HEARTBEAT_INTERVAL_MS;
/** Entries that expired in an outage are registered again within this time. */
const REREGISTRATION_MS = 2_000;
/** How often the store removes expired entries, in ms. */
const EXPIRY_CHECK_MS = 100;
/** Maximum age of the data that a stale read returns, in ms. */
const MAX_STALENESS_MS = 2_000;

/** All entries at one point in time. */
export interface Snapshot {
  readonly workers: readonly Worker[];
  readonly instances: readonly Registration[];
  /** The zones that the operator evacuates. */
  readonly evacuated: EvacuatedZones;
}

interface InstanceEntry {
  readonly registration: Registration;
  leaseUntil: Millis;
}

interface WorkerEntry {
  readonly worker: Worker;
  renewedAt: Millis;
}

/** Parameters of a store. */
export interface SimulatedStoreOptions {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  readonly workers: ReadonlyMap<string, SimulatedWorker>;
}

/** A store that can have outages. */
export class SimulatedStore {
  private downUntil: Millis = 0;
  private isDroppingCalls = false;
  private readonly workers = new Map<string, WorkerEntry>();
  private readonly instances = new Map<string, InstanceEntry>();
  /** Machines whose calls the store rejects while it serves the others. */
  readonly rejectedMachines = new Set<string>();
  private evacuated: EvacuatedZones = {revision: 1, zones: []};
  private history: {readonly at: Millis; readonly snapshot: Snapshot}[] = [];

  constructor(private readonly options: SimulatedStoreOptions) {
    for (const worker of options.workers.values()) this.keepRegistered(worker);
    this.removeExpired();
  }

  /** Starts an outage; with `losesEntries` all entries expire during it. */
  startOutage(ms: Millis, losesEntries: boolean): void {
    const {scheduler, random} = this.options;
    this.downUntil = Math.max(this.downUntil, scheduler.now + ms);
    this.isDroppingCalls = random.chance(0.5);
    scheduler.runAfter(ms, () => {
      if (losesEntries) this.dropEntries();
      else this.extendLeases();
    });
  }

  /** Whether an outage is going on. */
  get isDown(): boolean {
    return this.options.scheduler.now < this.downUntil;
  }

  /** Executes a call of a process; undefined when it fails or times out. */
  call<Answer>(
    machine: string,
    process: SimulatedProcess,
    timeoutMs: Millis,
    apply: () => Answer,
  ): Promise<{readonly value: Answer} | undefined> {
    const {scheduler, network} = this.options;
    return new Promise(resolve => {
      const cancelTimeout = startTimeoutAfterReads(end, timeoutMs);
      function end(result?: {readonly value: Answer}): void {
        cancelTimeout();
        resolve(result);
      }
      if (!network.isOpen(machine, STORE)) return;
      scheduler.deliver(network.drawArrival(machine, STORE), undefined, () => {
        if (this.isDown && this.isDroppingCalls) return;
        const isRejected = this.isDown || this.rejectedMachines.has(machine);
        const result = isRejected ? undefined : {value: apply()};
        if (!network.isOpen(STORE, machine)) return;
        const backAt = network.drawArrival(STORE, machine);
        scheduler.deliver(backAt, process, () => end(result));
      });
    });
  }

  /** Returns all entries, or an earlier snapshot if the read can be stale. */
  read(canBeStale: boolean): Snapshot {
    const {scheduler, random} = this.options;
    const present = this.takeSnapshot();
    if (!canBeStale || !random.chance(0.5)) return present;
    const asOf = scheduler.now - random.between(0, MAX_STALENESS_MS);
    const old = this.history.filter(({at}) => at <= asOf).at(-1);
    return old?.snapshot ?? present;
  }

  /** Writes the keys of all zones that are evacuated from now on. */
  evacuate(zones: readonly string[]): void {
    this.evacuated = {revision: this.evacuated.revision + 1, zones};
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
  putWorker(worker: SimulatedWorker): void {
    const {scheduler, network} = this.options;
    const {entry} = worker;
    if (entry === undefined || this.isDown) return;
    if (!network.isOpen(worker.id, STORE)) return;
    this.workers.set(worker.id, {worker: entry, renewedAt: scheduler.now});
  }

  private keepRegistered(worker: SimulatedWorker): void {
    this.putWorker(worker);
    const {scheduler, random} = this.options;
    scheduler.runAfter(HEARTBEAT_INTERVAL_MS * random.between(0.9, 1.1), () =>
      this.keepRegistered(worker),
    );
  }

  private dropEntries(): void {
    const {scheduler, random, workers} = this.options;
    this.workers.clear();
    this.instances.clear();
    for (const worker of workers.values()) {
      scheduler.runAfter(random.between(0, REREGISTRATION_MS), () =>
        this.putWorker(worker),
      );
    }
  }

  /** Extends all leases after an outage, as they do not expire during it. */
  private extendLeases(): void {
    const {now} = this.options.scheduler;
    for (const entry of this.workers.values()) entry.renewedAt = now;
    for (const entry of this.instances.values()) {
      entry.leaseUntil = Math.max(
        entry.leaseUntil,
        now + HEARTBEAT_INTERVAL_MS,
      );
    }
  }

  private removeExpired(): void {
    const {scheduler} = this.options;
    const {now} = scheduler;
    if (!this.isDown) {
      for (const [id, {renewedAt}] of this.workers) {
        if (now - renewedAt > WORKER_EXPIRY_MS) this.workers.delete(id);
      }
      for (const [id, {leaseUntil}] of this.instances) {
        if (now > leaseUntil) this.instances.delete(id);
      }
    }
    this.history = this.history.filter(({at}) => at >= now - MAX_STALENESS_MS);
    this.history.push({at: now, snapshot: this.takeSnapshot()});
    scheduler.runAfter(EXPIRY_CHECK_MS, () => this.removeExpired());
  }

  private takeSnapshot(): Snapshot {
    return {
      workers: [...this.workers.values()].map(({worker}) => worker),
      instances: [...this.instances.values()].map(
        ({registration}) => registration,
      ),
      evacuated: this.evacuated,
    };
  }
}
