/** A machine on which one instance runs, is killed and starts again. */
import {Lifecycle, Logs, LogLevel, type Millis} from '@goldcrestpier/runtime';
import {Instance} from '../../src/instance/instance.js';
import {ZoneMetrics} from '../../src/metrics/index.js';
import {createZoneRouter} from '../../src/protocol/index.js';
import {PlayedDirectory} from './directory.js';
import {PlayedLink, type Listener} from './link.js';
import type {Network} from './network.js';
import type {Random} from './random.js';
import {Process, type Scheduler} from './scheduler.js';
import type {PlayedStore} from './store.js';
import type {TimeLine} from './time_line.js';
import {LEASE_MS, STOP_MS, type PlayedWorker} from './worker.js';
import {PlayedPort, type Lateness} from './worker_port.js';

const PEER_PORT = 7_000;
/** From the start of a process until its instance begins, in ms. */
const BOOT_MS = 240;
/** Values of the part of a token that tells processes apart. */
const NONCE_VALUES = 2 ** 24;

/** What all machines share. */
export interface World {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  readonly store: PlayedStore;
  readonly workers: ReadonlyMap<string, PlayedWorker>;
  readonly lateness: Lateness;
  readonly timeLine: TimeLine;
  readonly zones: readonly string[];
  readonly machines: Machine[];
}

/** One life of an instance. */
export interface InstanceLife extends Listener {
  readonly id: string;
  readonly instance: Instance;
  readonly lifecycle: Lifecycle;
  readonly directory: PlayedDirectory;
  /** Called when the channels of its callers are reset. */
  readonly onReset: Set<() => void>;
}

/** One machine. */
export class Machine {
  life: InstanceLife | undefined;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly processors: number,
    private readonly world: World,
  ) {}

  /** Where its instance listens for peers. */
  get address(): string {
    return `${this.name}:${PEER_PORT}`;
  }

  /** Starts a process, unless one runs. */
  start(): void {
    if (this.life !== undefined) return;
    const {scheduler, random, timeLine} = this.world;
    const id = `${this.name}-${random.hex(4)}`;
    const process = new Process(id, scheduler.now - BOOT_MS);
    timeLine.add('fault', `${id} starts`);
    scheduler.deliver(scheduler.now, process, () => {
      this.life = this.createLife(id, process);
      this.life.instance.start();
    });
  }

  /** Kills the process. */
  kill(): void {
    const {life} = this;
    if (life === undefined) return;
    this.life = undefined;
    life.process.isGone = true;
    for (const tell of [...life.onGone]) tell();
  }

  /** Begins a planned stop that ends after a time. */
  leave(ms: Millis): void {
    const {life} = this;
    if (life === undefined) return;
    const {scheduler} = this.world;
    scheduler.deliver(scheduler.now, life.process, () => life.instance.leave());
    scheduler.later(ms, () => {
      scheduler.deliver(scheduler.now, life.process, () => {
        void life.lifecycle.close();
      });
    });
    scheduler.later(ms + BOOT_MS, () => {
      if (this.life === life) this.kill();
    });
  }

  /** Whether the platform sends callers here. */
  isReady(): boolean {
    const {life} = this;
    if (life === undefined) return false;
    const now = this.world.scheduler.now - life.process.clockZero;
    return life.instance.isReady(now);
  }

  private createLife(id: string, process: Process): InstanceLife {
    const {world, zone, address, processors, name: machine} = this;
    const {random, timeLine} = world;
    const lifecycle = new Lifecycle(id);
    const self = {id, zone, address, processors};
    const directory = new PlayedDirectory({
      ...world,
      self,
      machine,
      process,
      lifecycle,
    });
    directory.start();
    const findListener = (other: string) =>
      world.machines.find(candidate => candidate.address === other)?.life;
    const options = {...world, id, machine, process, findListener};
    const stream = createStream(text => timeLine.add(id, text));
    const instance = new Instance({
      id,
      zone,
      processors,
      listen: {host: machine, port: PEER_PORT},
      nonce: random.whole(0, NONCE_VALUES - 1),
      bounds: {leaseMs: LEASE_MS, stopMs: STOP_MS},
      directory,
      port: new PlayedPort({...options, random: random.fork()}),
      openLink: (to, owner) => new PlayedLink(to, options, owner),
      otherZones: world.zones.filter(other => other !== zone),
      seeds: [],
      logs: new Logs('play', LogLevel.Info, stream),
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
      if (handle === undefined) throw new Error(`no call ${method}`);
      return handle(input);
    };
    const tell = {
      onGone: new Set<() => void>(),
      onReset: new Set<() => void>(),
    };
    const parts = {id, machine, process, instance, lifecycle, directory};
    const onPing = (other: string) => instance.notePing(other);
    return {...parts, call, onPing, ...tell};
  }
}

/** A stream for logs that hands on each line. */
function createStream(take: (text: string) => void): NodeJS.WritableStream {
  const stream = {write: (text: string) => take(text)};
  return stream as unknown as NodeJS.WritableStream;
}
