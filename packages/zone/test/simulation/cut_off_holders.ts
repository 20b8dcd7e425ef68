/** Cuts holders off from their peers and from some of their workers at once. */
import type {Millis} from '@goldcrestpier/runtime';
import {CutKind} from './connection_cuts.js';
import {scheduleHolderFaults} from './holder_faults.js';
import type {Machine, World} from './machine.js';
import type {Nodes} from './network.js';
import type {Random} from './random.js';

/** Time between two of these faults, each in another zone, in ms. */
const INTERVAL_MS = 1_700;
/** Bounds of the time for which the holder is cut off, in ms. */
const MIN_CUT_MS = 900;
const MAX_CUT_MS = 3_500;
/** When the cut from the peers begins, and when that from the workers, in ms. */
const PEERS_AFTER_MS = 250;
/** The former, if connections to the peers are refused, in ms. */
const REFUSED_AFTER_MS = 900;
const MAX_WORKERS_AFTER_MS = 600;
/** Share of the cuts after which the holder's callers send their jobs again. */
const RESET_SHARE = 0.2;
const MIN_RESET_AFTER_MS = 300;
const MAX_RESET_AFTER_MS = 900;
/** Share of the cuts from all workers of its zone, and from some of them. */
const ALL_WORKERS_SHARE = 0.8;
const SOME_WORKERS_SHARE = 0.6;
/** Share of the cuts beside which the holder is frozen, and for how long. */
const FROZEN_SHARE = 0.2;
const MIN_FREEZE_MS = 300;
const MAX_FREEZE_MS = 3_000;
/** Share of the cuts beside which messages to the holder are delayed. */
const DELAYED_SHARE = 0.2;
const MAX_DELAY_MS = 600;

/** Schedules such cuts of the zones' holders in turn. */
export function scheduleCutOffHolders(
  world: World,
  {from, until}: {readonly from: Millis; readonly until: Millis},
  isRefused: boolean,
): void {
  const random = world.random.fork();
  const period = {from, until, intervalMs: INTERVAL_MS};
  scheduleHolderFaults(world, period, holder =>
    cutOff(world, holder, random, isRefused),
  );
}

function cutOff(
  world: World,
  machine: Machine,
  random: Random,
  isRefused: boolean,
): void {
  const {scheduler, network, timeline} = world;
  const {name, zone} = machine;
  const self: Nodes = other => other === name;
  const isPeer: Nodes = other =>
    other !== name && other.startsWith(`${zone}-i`);
  const share = random.chance(ALL_WORKERS_SHARE) ? 1 : SOME_WORKERS_SHARE;
  const ids = [...world.workers.keys()].filter(
    id => id.startsWith(`${zone}-`) && random.chance(share),
  );
  const isWorker: Nodes = other => ids.includes(other);
  const ms = random.between(MIN_CUT_MS, MAX_CUT_MS);
  const workersAfterMs = random.between(0, MAX_WORKERS_AFTER_MS);
  const workersMs = random.between(MIN_CUT_MS, MAX_CUT_MS);
  scheduler.runAfter(workersAfterMs, () => {
    timeline.add('fault', `${name} is cut off from ${ids.join(' ')}`);
    partition(world, self, isWorker, workersMs, random);
  });
  const peersAfterMs = isRefused ? REFUSED_AFTER_MS : PEERS_AFTER_MS;
  scheduler.runAfter(peersAfterMs, () => {
    timeline.add('fault', `${name} is cut off from its peers`);
    if (isRefused) refuse(world, self, isPeer, ms);
    else partition(world, self, isPeer, ms, random);
  });
  const hasReset = random.chance(RESET_SHARE);
  const resetAfterMs = random.between(MIN_RESET_AFTER_MS, MAX_RESET_AFTER_MS);
  if (hasReset) scheduler.runAfter(resetAfterMs, () => resetCallers(machine));
  const isFrozen = random.chance(FROZEN_SHARE);
  const freezeAfterMs = random.between(0, ms);
  const freezeMs = random.between(MIN_FREEZE_MS, MAX_FREEZE_MS);
  if (isFrozen)
    scheduler.runAfter(freezeAfterMs, () => freeze(world, machine, freezeMs));
  if (!random.chance(DELAYED_SHARE)) return;
  timeline.add('fault', `${name}: delays of messages to it`);
  network.delay(() => true, self, 2 * ms, MAX_DELAY_MS);
}

/** Blocks messages in both directions or in one of them. */
function partition(
  {network}: World,
  self: Nodes,
  others: Nodes,
  ms: Millis,
  random: Random,
): void {
  const direction = random.pick(['both', 'both', 'both', 'out', 'in']);
  if (direction !== 'in') network.partition(self, others, ms);
  if (direction !== 'out') network.partition(others, self, ms);
}

/** Closes connections in both directions and refuses new ones. */
function refuse(
  {network}: World,
  self: Nodes,
  others: Nodes,
  ms: Millis,
): void {
  const kind = CutKind.Refuse;
  network.cuts.add({kind, from: self, to: others, ms});
  network.cuts.add({kind, from: others, to: self, ms});
}

/** Resets the connections of a machine's callers; both ends notice it. */
function resetCallers({running}: Machine): void {
  for (const reset of [...(running?.resetCallbacks ?? [])]) reset();
}

function freeze(
  {scheduler, timeline}: World,
  {running}: Machine,
  ms: Millis,
): void {
  if (running === undefined) return;
  timeline.add('fault', `${running.id} frozen for ${Math.round(ms)} ms`);
  running.process.pausedUntil = scheduler.now + ms;
}
