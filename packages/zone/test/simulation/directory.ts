/** The simulated store as one process reads it, like the platform's adapter. */
import type {Worker} from '@goldcrestpier/dispatch';
import {
  readClock,
  sleep,
  type Lifecycle,
  type Millis,
} from '@goldcrestpier/runtime';
import type {
  Configuration,
  Directory,
  EvacuatedZones,
  Registration,
  WorkerListing,
} from '../../src/ports/index.js';
import {OperatorKeys} from './operator_keys.js';
import type {SimulatedProcess} from './scheduler.js';
import type {SimulatedStore, Snapshot} from './store.js';

/** How often each list is read by a holder, a candidate and any instance, in ms. */
const HOLDER_WORKERS_READ_MS = 400;
const CANDIDATE_WORKERS_READ_MS = 2_000;
const INSTANCES_READ_MS = 100;
const IDLE_POLL_MS = 100;
const CALL_TIMEOUT_MS = 500;
const RETRY_MS = 100;
/** Entries that expired during a store outage are registered again by then. */
const REREGISTRATION_GRACE_MS = 2_500;
const REGISTRATION_LEASE_MS = 3_000;
const RENEW_INTERVAL_MS = 1_000;
const REGISTER_RETRY_MS = 300;

const configuration: Configuration = {
  version: 1,
  queues: [],
  limits: {
    maxHeaderBytes: 0,
    maxBodyBytes: 0,
    headerTimeoutMs: 0,
    idleTimeoutMs: 0,
  },
};

/** Parameters of a directory. */
export interface SimulatedDirectoryOptions {
  readonly self: Registration;
  readonly machine: string;
  readonly process: SimulatedProcess;
  readonly store: SimulatedStore;
  readonly lifecycle: Lifecycle;
  /** Whether the operator evacuates zones, for which their keys are read. */
  readonly hasEvacuation: boolean;
}

interface KnownWorker {
  readonly worker: Worker;
  missingSince: Millis | undefined;
}

/** Polls the store; during an outage the last state read stays in use. */
export class SimulatedDirectory implements Directory {
  private holderToken: number | undefined;
  private isCandidate = false;
  private isStoreUnreachable = false;
  private reachableSince: Millis = -Infinity;
  private instancesReadAt: Millis | undefined;
  private workersAsOf: Millis | undefined;
  private readonly knownWorkers = new Map<string, KnownWorker>();
  private instances: readonly Registration[] = [];
  private isRegistered = false;
  private readonly operatorKeys = new OperatorKeys(
    () => this.isHolder,
    () => this.read(false),
  );

  constructor(private readonly options: SimulatedDirectoryOptions) {}

  /** Starts to poll the store and to renew the registration. */
  start(): void {
    const {lifecycle, hasEvacuation} = this.options;
    const keys = (signal: AbortSignal) => this.operatorKeys.follow(signal);
    const loops = {
      ...(hasEvacuation ? {keys} : {}),
      workers: (signal: AbortSignal) => this.pollWorkers(signal),
      instances: (signal: AbortSignal) => this.pollInstances(signal),
      registration: (signal: AbortSignal) => this.keepRegistered(signal),
    };
    for (const [name, loop] of Object.entries(loops)) {
      lifecycle.run(name, loop, cause => {
        throw cause;
      });
    }
  }

  /** Whether this instance has announced that it is its zone's holder. */
  get isHolder(): boolean {
    return this.holderToken !== undefined;
  }

  /** The configuration, which is the same in all simulations. */
  configuration(): Configuration {
    return configuration;
  }

  /** When the operator's keys were known to be the newest. */
  configurationAsOf(): Millis | undefined {
    return this.operatorKeys.asOf;
  }

  /** Records that a peer knew the newest keys at that time. */
  confirmConfiguration(_version: number, asOf: Millis): void {
    this.operatorKeys.confirm(asOf);
  }

  /** The evacuated zones; undefined before any evacuation was seen. */
  evacuatedZones(): EvacuatedZones | undefined {
    return this.operatorKeys.current;
  }

  /** Whether the operator's keys were read, in a simulation that has any. */
  areEvacuationsKnown(): boolean {
    if (!this.options.hasEvacuation) return true;
    return this.operatorKeys.asOf !== undefined;
  }

  /** Applies what a peer knows. */
  offerEvacuatedZones(evacuated: EvacuatedZones): void {
    this.operatorKeys.offer(evacuated);
  }

  /** Not simulated. */
  offerConfiguration(): void {
    return undefined;
  }

  /** Workers that are registered, or may register again after a store outage. */
  workers(): WorkerListing {
    const now = readClock();
    const workers: Worker[] = [];
    for (const [id, {worker, missingSince}] of this.knownWorkers) {
      const mayReturn = now < this.reachableSince + REREGISTRATION_GRACE_MS;
      if (missingSince === undefined || mayReturn) workers.push(worker);
      else this.knownWorkers.delete(id);
    }
    return {
      workers,
      asOf: this.workersAsOf,
      isReachable: !this.isStoreUnreachable,
    };
  }

  /** The registered instances. */
  registrations(): readonly Registration[] {
    return this.instances;
  }

  /** Records and registers whether this instance is the holder. */
  announce(holderToken: number | undefined): void {
    if (this.holderToken === holderToken) return;
    this.holderToken = holderToken;
    if (this.isRegistered) void this.writeRegistration();
  }

  /** Records whether this instance is a candidate for the next holder. */
  setCandidate(isCandidate: boolean): void {
    this.isCandidate = isCandidate;
  }

  /** Since when instances can be read; undefined before the first read. */
  registrationsSince(): Millis | undefined {
    if (this.instancesReadAt === undefined) return undefined;
    return Math.max(this.instancesReadAt, this.reachableSince);
  }

  private async read(canBeStale: boolean): Promise<Snapshot | undefined> {
    const {store, machine, process} = this.options;
    const read = () => store.read(canBeStale);
    const answer = await store.call(machine, process, CALL_TIMEOUT_MS, read);
    const now = readClock();
    if (answer === undefined) {
      this.isStoreUnreachable = true;
      return undefined;
    }
    if (this.isStoreUnreachable) this.reachableSince = now;
    this.isStoreUnreachable = false;
    return answer.value;
  }

  private async pollWorkers(signal: AbortSignal): Promise<void> {
    let isFirst = true;
    while (!signal.aborted) {
      if (this.holderToken !== undefined) {
        isFirst = !(await this.readAsHolder(isFirst));
        await sleep(isFirst ? RETRY_MS : HOLDER_WORKERS_READ_MS, signal);
        continue;
      }
      isFirst = true;
      if (this.isCandidate) await this.readAsCandidate(signal);
      else await sleep(IDLE_POLL_MS, signal);
    }
  }

  private async readAsHolder(isFirst: boolean): Promise<boolean> {
    const sentAt = readClock();
    const snapshot = await this.read(false);
    if (snapshot === undefined) return false;
    this.updateWorkers(snapshot.workers);
    this.workersAsOf = isFirst ? sentAt : readClock();
    return true;
  }

  private async readAsCandidate(signal: AbortSignal): Promise<void> {
    const until = readClock() + CANDIDATE_WORKERS_READ_MS;
    const snapshot = await this.read(true);
    if (snapshot !== undefined) this.updateWorkers(snapshot.workers);
    while (!signal.aborted && readClock() < until) {
      if (this.holderToken !== undefined) return;
      await sleep(IDLE_POLL_MS / 2, signal);
    }
  }

  private updateWorkers(workers: readonly Worker[]): void {
    const now = readClock();
    const listed = new Set(workers.map(({id}) => id));
    for (const [id, entry] of this.knownWorkers) {
      if (!listed.has(id)) entry.missingSince ??= now;
    }
    for (const worker of workers) {
      this.knownWorkers.set(worker.id, {worker, missingSince: undefined});
    }
  }

  private async pollInstances(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const snapshot = await this.read(false);
      if (snapshot !== undefined) {
        this.instancesReadAt ??= readClock();
        this.instances = snapshot.instances;
      }
      await sleep(INSTANCES_READ_MS, signal);
    }
  }

  private async keepRegistered(signal: AbortSignal): Promise<void> {
    const {store, machine, process, self} = this.options;
    while (!signal.aborted) {
      if (!this.isRegistered) await this.writeRegistration();
      else {
        const renew = () => store.renew(self.id, REGISTRATION_LEASE_MS);
        const renewed = await store.call(
          machine,
          process,
          CALL_TIMEOUT_MS,
          renew,
        );
        if (renewed?.value === false) this.isRegistered = false;
      }
      const pauseMs = this.isRegistered ? RENEW_INTERVAL_MS : REGISTER_RETRY_MS;
      await sleep(pauseMs, signal);
    }
    const remove = () => store.remove(self.id);
    await store.call(machine, process, CALL_TIMEOUT_MS, remove);
  }

  private async writeRegistration(): Promise<void> {
    const {store, machine, process, self} = this.options;
    const {holderToken} = this;
    const write = () =>
      store.register({...self, holderToken}, REGISTRATION_LEASE_MS);
    const written = await store.call(machine, process, CALL_TIMEOUT_MS, write);
    this.isRegistered = written !== undefined;
  }
}
