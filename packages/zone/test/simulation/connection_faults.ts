/** Injects cuts that close and refuse connections of instances. */
import type {Millis} from '@goldcrestpier/runtime';
import {CutKind} from './connection_cuts.js';
import type {Machine, World} from './machine.js';
import type {Nodes} from './network.js';
import type {Random} from './random.js';

/** Share of cuts that are shorter than the time of silence of a failure. */
const SHORT_CUTS_SHARE = 0.4;
/** Bounds of the time that short and that other cuts last, in ms. */
const MIN_CUT_MS = 60;
const MAX_SHORT_CUT_MS = 600;
const MAX_CUT_MS = 4_000;
/** Share of cuts that hit a holder in place of any instance. */
const HOLDER_SHARE = 0.4;

/** Which connections a cut ends. */
enum CutScope {
  /** Those of an instance with the others of its zone. */
  Peers = 'peers',
  /** Those of an instance with one other of its zone. */
  OnePeer = 'one_peer',
  /** Those between two zones. */
  Zones = 'zones',
  /** Those of an instance with workers. */
  Workers = 'workers',
  /** Those of an instance with all other instances and with workers. */
  All = 'all',
}

/** Injects cuts of connections. */
export class ConnectionFaults {
  constructor(
    private readonly world: World,
    private readonly random: Random,
  ) {}

  /** Cuts connections of a machine, or of the holder of a zone in its place. */
  cut(machine: Machine): void {
    const {random} = this;
    const scope = random.pick(Object.values(CutScope));
    const isShort = random.chance(SHORT_CUTS_SHARE);
    const maxMs = isShort ? MAX_SHORT_CUT_MS : MAX_CUT_MS;
    const ms = random.between(MIN_CUT_MS, maxMs);
    const chosen = this.chooseMachine(machine);
    const others = this.chooseOthers(scope, chosen);
    const self: Nodes =
      scope === CutScope.Zones
        ? name => name.startsWith(`${chosen.zone}-`)
        : name => name === chosen.name;
    this.apply(scope, chosen, {self, others}, ms);
  }

  private chooseMachine(machine: Machine): Machine {
    const {random, world} = this;
    const holders = world.machines.filter(
      ({running}) => running?.directory.isHolder === true,
    );
    if (!random.chance(HOLDER_SHARE)) return machine;
    return holders.length > 0 ? random.pick(holders) : machine;
  }

  private chooseOthers(scope: CutScope, {name, zone}: Machine): Nodes {
    const {random, world} = this;
    const machines = world.machines.filter(other => other.name !== name);
    const peers = machines.filter(other => other.zone === zone);
    const far = machines.filter(other => other.zone !== zone);
    switch (scope) {
      case CutScope.Peers:
        return isAnyOf(peers);
      case CutScope.OnePeer:
        return isAnyOf(peers.length > 0 ? [random.pick(peers)] : []);
      case CutScope.Zones: {
        const other = far.length > 0 ? random.pick(far).zone : undefined;
        return isAnyOf(far.filter(machine => machine.zone === other));
      }
      case CutScope.Workers:
        return this.chooseWorkers();
      case CutScope.All: {
        const areMachines = isAnyOf(machines);
        const areWorkers = this.chooseWorkers();
        return other => areMachines(other) || areWorkers(other);
      }
    }
  }

  private chooseWorkers(): Nodes {
    const {random, world} = this;
    const share = random.between(0.2, 1);
    const ids = new Set(
      [...world.workers.keys()].filter(() => random.chance(share)),
    );
    return name => ids.has(name);
  }

  /** Cuts connections that either side opens, or that one of them does. */
  private apply(
    scope: CutScope,
    {name}: Machine,
    {self, others}: {readonly self: Nodes; readonly others: Nodes},
    ms: Millis,
  ): void {
    const {random, world} = this;
    const {timeline, network} = world;
    const kind = random.chance(0.75) ? CutKind.Refuse : CutKind.Reset;
    const direction = random.pick(['both', 'both', 'out', 'in']);
    const what = `${scope}, ${direction}, ${kind}`;
    const text = `connections of ${name} cut for ${Math.round(ms)} ms (${what})`;
    timeline.add('fault', text);
    const isOut = direction !== 'in';
    if (isOut) network.cuts.add({kind, from: self, to: others, ms});
    const isIn = direction !== 'out';
    if (isIn) network.cuts.add({kind, from: others, to: self, ms});
  }
}

function isAnyOf(machines: readonly Machine[]): Nodes {
  const names = new Set(machines.map(({name}) => name));
  return name => names.has(name);
}
