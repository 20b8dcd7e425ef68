/** A machine on which an instance is started, stopped, killed and restarted. */
import {Lifecycle, Logs, LogLevel, type Millis} from '@goldcrestpier/runtime';
import {Instance} from '../../src/instance/instance.js';
import {ZoneMetrics} from '../../src/metrics/index.js';
import {createZoneRouter} from '../../src/protocol/index.js';
import {SimulatedDirectory} from './directory.js';
import type {Listener} from './connection.js';
import {SimulatedLink} from './link.js';
import type {Network} from './network.js';
import type {Random} from './random.js';
import {SimulatedProcess, type Scheduler} from './scheduler.js';
import type {SimulatedStore} from './store.js';
import type {Timeline} from './timeline.js';
import {LEASE_MS, STOP_MS, type SimulatedWorker} from './worker.js';
import {SimulatedWorkerPort, type RequestDelays} from './worker_port.js';

const PEER_PORT = 7_000;
/** From the start of a process until its instance begins, in ms. */
const BOOT_DELAY_MS = 240;
/** Number of values of the token's part that distinguishes processes. */
const NONCE_VALUES = 2 ** 24;

/** The parts of a simulation that all machines share. */
export interface World {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  readonly store: SimulatedStore;
  readonly workers: ReadonlyMap<string, SimulatedWorker>;
  readonly requestDelays: RequestDelays;
  readonly timeline: Timeline;
  readonly zones: readonly string[];
  readonly machines: Machine[];
  /** Whether the operator evacuates a zone. */
  readonly hasEvacuation?: boolean;
}

/** A running instance with its process. */
export interface RunningInstance extends Listener {
  readonly id: string;
  readonly instance: Instance;
  readonly lifecycle: Lifecycle;
  readonly directory: SimulatedDirectory;
  /** Callbacks for a reset of its callers' connections. */
  readonly resetCallbacks: Set<() => void>;
}

/** A machine that runs at most one instance at a time. */
export class Machine {
  running: RunningInstance | undefined;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly processors: number,
    private readonly world: World,
  ) {}

  /** The `host:port` where its instance listens for peers. */
  get address(): string {
    return `${this.name}:${PEER_PORT}`;
  }

  /** Starts a process, unless one runs. */
  start(): void {
    if (this.running !== undefined) return;
    const {scheduler, random, timeline} = this.world;
    const id = `${this.name}-${random.hex(4)}`;
    const process = new SimulatedProcess(id, scheduler.now - BOOT_DELAY_MS);
    timeline.add('fault', `${id} starts`);
    scheduler.deliver(scheduler.now, process, () => {
      this.running = this.createRunningInstance(id, process);
      this.running.instance.start();
    });
  }

  /** Kills the process without a shutdown. */
  kill(): void {
    const {running} = this;
    if (running === undefined) return;
    this.running = undefined;
    running.process.exit();
    for (const notify of [...running.exitCallbacks]) notify();
  }

  /** Begins a planned stop; the process exits after this time. */
  stopGracefully(ms: Millis): void {
    const {running} = this;
    if (running === undefined) return;
    const {scheduler} = this.world;
    scheduler.deliver(scheduler.now, running.process, () =>
      running.instance.leave(),
    );
    scheduler.runAfter(ms, () => {
      scheduler.deliver(scheduler.now, running.process, () => {
        void running.lifecycle.close();
      });
    });
    scheduler.runAfter(ms + BOOT_DELAY_MS, () => {
      if (this.running === running) this.kill();
    });
  }

  /** Whether the instance is ready, so that the platform sends callers to it. */
  isReady(): boolean {
    const {running} = this;
    if (running === undefined) return false;
    const now = this.world.scheduler.now - running.process.clockZero;
    return running.instance.isReady(now);
  }

  /** Whether its instance is the holder of the zone. */
  get isHolder(): boolean {
    return this.running?.directory.isHolder === true;
  }

  private createRunningInstance(
    id: string,
    process: SimulatedProcess,
  ): RunningInstance {
    const {world, zone, address, processors, name: machine} = this;
    const {random, timeline} = world;
    const lifecycle = new Lifecycle(id);
    const self = {id, zone, address, processors};
    const directory = new SimulatedDirectory({
      ...world,
      self,
      machine,
      process,
      lifecycle,
      hasEvacuation: world.hasEvacuation === true,
    });
    directory.start();
    const findListener = (other: string) =>
      world.machines.find(candidate => candidate.address === other)?.running;
    const options = {...world, id, machine, process, findListener};
    const stream = createStream(text => timeline.add(id, text));
    const instance = new Instance({
      id,
      zone,
      processors,
      listen: {host: machine, port: PEER_PORT},
      nonce: random.integer(0, NONCE_VALUES - 1),
      dispatchOptions: {leaseMs: LEASE_MS, stopMs: STOP_MS},
      directory,
      workerPort: new SimulatedWorkerPort({...options, random: random.fork()}),
      openLink: (to, owner) => new SimulatedLink(to, options, owner),
      otherZones: world.zones.filter(other => other !== zone),
      seeds: [],
      logs: new Logs('simulation', LogLevel.Info, stream),
      metrics: new ZoneMetrics(),
      lifecycle,
    });
    const connection = {callsInFlight: 0, isFull: false};
    const router = createZoneRouter(instance);
    const calls = router.createCaller({connection}) as unknown as Record<
      string,
      (input: unknown) => Promise<unknown>
    >;
    const call = (method: string, input: unknown) => {
      const handle = calls[method];
      if (handle === undefined) throw new Error(`unknown method ${method}`);
      return handle(input);
    };
    const callbacks = {
      exitCallbacks: new Set<() => void>(),
      resetCallbacks: new Set<() => void>(),
    };
    const parts = {id, machine, process, instance, lifecycle, directory};
    const {connections} = instance;
    const onPing = (other: string) => instance.recordPing(other);
    const onOpened = (other: string) => connections.recordOpened(other);
    const onClosed = (other: string) => connections.recordClosed(other);
    return {...parts, call, onPing, onOpened, onClosed, ...callbacks};
  }
}

/** Finds a machine whose instance is the holder of the zone. */
export function findHolder(
  {machines}: World,
  zone: string | undefined,
): Machine | undefined {
  return machines.find(machine => machine.zone === zone && machine.isHolder);
}

/** Creates a log stream that passes each line to `onLine`. */
function createStream(onLine: (text: string) => void): NodeJS.WritableStream {
  const stream = {write: (text: string) => onLine(text)};
  return stream as unknown as NodeJS.WritableStream;
}
