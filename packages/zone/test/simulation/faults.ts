/** Injects random faults from a seed, most of them in groups close in time. */
import type {Millis} from '@goldcrestpier/runtime';
import {ConnectionFaults} from './connection_faults.js';
import {Fault} from './fault_kinds.js';
import type {Machine, World} from './machine.js';
import {CALLERS, STORE, type Nodes} from './network.js';
import type {Random} from './random.js';
import type {DelayedRequests} from './request_delays.js';
import type {SimulatedWorker} from './worker.js';
import {WorkerFaults} from './worker_faults.js';

/** Injects faults into a simulation. */
export class FaultInjector {
  private readonly random: Random;
  readonly workerFaults: WorkerFaults;
  private readonly connectionFaults: ConnectionFaults;

  constructor(
    private readonly world: World,
    delayedRequests: DelayedRequests,
  ) {
    this.random = world.random.fork();
    this.workerFaults = new WorkerFaults(world, delayedRequests, this.random);
    this.connectionFaults = new ConnectionFaults(world, this.random);
  }

  /** Schedules random groups of faults between two times. */
  scheduleFaults(from: Millis, until: Millis, kinds: readonly Fault[]): void {
    const {random, world} = this;
    const groups = random.integer(2, 5);
    for (let group = 0; group < groups; group += 1) {
      const about = random.between(from, until);
      const count = random.integer(2, 6);
      for (let index = 0; index < count; index += 1) {
        const kind = random.pick(kinds);
        const at = Math.max(from, about + random.between(-1_500, 1_500));
        world.scheduler.runAfter(at, () => this.inject(kind));
      }
    }
  }

  private inject(kind: Fault): void {
    const {random, world} = this;
    const machine = random.pick(world.machines);
    const ms = random.between(150, 5_000);
    switch (kind) {
      case Fault.Kill:
        return this.kill();
      case Fault.Freeze:
        return this.freeze(machine, random.between(50, 3_500));
      case Fault.Overload:
        return this.overload(machine, ms);
      case Fault.PlannedStop:
        return this.stopGracefully(machine);
      case Fault.StoreOutage: {
        const losesEntries = random.chance(0.6);
        this.log(`store down for ${Math.round(ms)} ms, wiped=${losesEntries}`);
        return world.store.startOutage(ms, losesEntries);
      }
      case Fault.PartitionMachine:
        return this.partitionMachine(machine, ms);
      case Fault.PartitionZones:
        return this.partitionZones(ms);
      case Fault.PartitionFromWorkers:
        return this.partitionFromWorkers(machine, ms);
      case Fault.PartitionFromStore:
        return this.partition('store', equals(machine.name), equals(STORE), ms);
      case Fault.DelayMachine:
        return this.delayMachine(machine, ms);
      case Fault.PartitionWorkers:
        return this.partitionWorkers(ms);
      case Fault.CrashWorkers:
        return this.workerFaults.crashWorkers();
      case Fault.DrainWorkers:
        return this.workerFaults.drainWorkers();
      case Fault.ResetCallers:
        return this.resetCallers(machine);
      case Fault.DelayRequests:
        return this.workerFaults.delayRequests(ms);
      case Fault.DeliverStale:
        this.log('messages of closed connections may still arrive');
        return world.network.allowStaleDelivery();
      case Fault.LateRequests:
        return this.workerFaults.makeRequestsLate(ms);
      case Fault.QuickRestarts:
        return this.workerFaults.restartQuickly();
      case Fault.CutConnections:
        return this.connectionFaults.cut(machine);
      case Fault.SlowWorkers:
        return this.workerFaults.slowDown(ms);
      case Fault.StandingWorkers:
        return this.workerFaults.standStill(ms);
      case Fault.LateAnswers:
        return this.workerFaults.answerLate(ms);
      case Fault.LongTasks:
        return this.workerFaults.lengthenTasks(ms);
    }
  }

  /** Kills one instance, often a holder, or the holders of all zones. */
  private kill(): void {
    const {random, world} = this;
    const holders = world.machines.filter(({isHolder}) => isHolder);
    const killsAllHolders = random.chance(0.3);
    const chosen = killsAllHolders
      ? holders
      : [
          random.pick(
            random.chance(0.6) && holders.length > 0 ? holders : world.machines,
          ),
        ];
    for (const machine of chosen) {
      const restartMs = random.between(100, 2_500);
      this.log(`${machine.running?.id ?? machine.name} killed`);
      machine.kill();
      world.scheduler.runAfter(restartMs, () => machine.start());
    }
  }

  private freeze(machine: Machine, ms: Millis): void {
    const {running} = machine;
    if (running === undefined) return;
    this.log(`${running.id} frozen for ${Math.round(ms)} ms`);
    running.process.pausedUntil = this.world.scheduler.now + ms;
  }

  private overload(machine: Machine, ms: Millis): void {
    const {running} = machine;
    if (running === undefined) return;
    const costMs = this.random.between(0.2, 4);
    this.log(`${running.id} overloaded (${costMs.toFixed(1)} ms per event)`);
    running.process.eventCostMs = costMs;
    this.world.scheduler.runAfter(ms, () => {
      running.process.eventCostMs = 0;
    });
  }

  private stopGracefully(machine: Machine): void {
    const {random, world} = this;
    const {running} = machine;
    if (running === undefined) return;
    const ms = random.between(300, 4_000);
    this.log(`${running.id} stops within ${Math.round(ms)} ms`);
    machine.stopGracefully(ms);
    const restartMs = ms + random.between(300, 2_000);
    world.scheduler.runAfter(restartMs, () => machine.start());
  }

  /** Partitions a machine from its peers, or from all but the callers. */
  private partitionMachine(machine: Machine, ms: Millis): void {
    const {random, world} = this;
    const self = equals(machine.name);
    const isPeer = (name: string) =>
      world.machines.some(other => other.name === name);
    const isFullPartition = random.chance(0.3);
    const others = (name: string) =>
      !self(name) && name !== CALLERS && (isFullPartition || isPeer(name));
    this.partition(isFullPartition ? 'all' : 'peers', self, others, ms);
  }

  private partitionZones(ms: Millis): void {
    const {random, world} = this;
    const one = random.pick(world.zones);
    const others = world.zones.filter(zone => zone !== one);
    if (others.length === 0) return;
    const other = random.pick(others);
    this.partition('zones', this.isInZone(one), this.isInZone(other), ms);
  }

  private partitionFromWorkers(machine: Machine, ms: Millis): void {
    const {random, world} = this;
    const share = random.between(0.2, 1);
    const ids = new Set(
      [...world.workers.keys()].filter(() => random.chance(share)),
    );
    this.partition('workers', equals(machine.name), name => ids.has(name), ms);
  }

  private delayMachine(machine: Machine, ms: Millis): void {
    const {random, world} = this;
    const delayMs = random.between(20, 700);
    this.log(`${machine.name}: delays up to ${Math.round(delayMs)} ms`);
    const self = equals(machine.name);
    const isAny = () => true;
    const direction = random.integer(0, 2);
    if (direction !== 1) world.network.delay(self, isAny, ms, delayMs);
    if (direction !== 2) world.network.delay(isAny, self, ms, delayMs);
  }

  private partitionWorkers(ms: Millis): void {
    const {random} = this;
    const chosen = this.workerFaults.chooseWorkers(0.5);
    const ids = new Set(chosen.map(({id}) => id));
    const includesStore = random.chance(0.5);
    const others = (name: string) =>
      !ids.has(name) && (includesStore || name !== STORE);
    this.partition('workers alone', name => ids.has(name), others, ms);
  }

  /** Crashes a worker and starts it again some time later. */
  crash(worker: SimulatedWorker): void {
    this.workerFaults.crash(worker);
  }

  /** Resets the connections of a machine's callers; both ends notice it. */
  private resetCallers({running}: Machine): void {
    if (running === undefined) return;
    this.log(`caller connections of ${running.id} are reset`);
    for (const reset of [...running.resetCallbacks]) reset();
  }

  /** Blocks messages in both directions or in one of them. */
  private partition(label: string, one: Nodes, other: Nodes, ms: Millis): void {
    const {random, world} = this;
    const direction = random.pick(['both', 'both', 'out', 'in']);
    const names = [...world.machines.map(({name}) => name)];
    const affected = [...names, ...world.workers.keys()].filter(one).join(' ');
    this.log(
      `partition (${label}, ${direction}) of ${affected} for ${Math.round(ms)} ms`,
    );
    if (direction !== 'in') world.network.partition(one, other, ms);
    if (direction !== 'out') world.network.partition(other, one, ms);
  }

  private isInZone(zone: string): Nodes {
    return name => name.startsWith(`${zone}-`);
  }

  private log(text: string): void {
    this.world.timeline.add('fault', text);
  }
}

function equals(name: string): Nodes {
  return other => other === name;
}
