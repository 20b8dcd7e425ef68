/** The faults of a soak: how they are drawn, made and taken back. */
import {setTimeout as pause} from 'node:timers/promises';
import {
  PartitionKind,
  InstanceState,
  type FaultsInput,
} from '@goldcrestpier/standins';
import * as fc from 'fast-check';
import {setKey, type Stage} from '../stage/index.js';

/** What can go wrong. */
export enum FaultKind {
  Kill = 'kill',
  Stop = 'stop',
  Pause = 'pause',
  Cut = 'cut',
  PlatformOut = 'platform_out',
  LostAnswers = 'lost_answers',
  Servers = 'servers',
  ServerLeaves = 'server_leaves',
  Edit = 'edit',
}

/** One fault of a schedule; times in milliseconds. */
export type Fault = {
  readonly afterMs: number;
  readonly lastsMs: number;
} & (
  | {
      readonly kind: FaultKind.Kill | FaultKind.Stop | FaultKind.Pause;
      readonly entry: string;
    }
  | {
      readonly kind: FaultKind.Cut;
      readonly zone: string;
      readonly cut: PartitionKind;
    }
  | {readonly kind: FaultKind.PlatformOut}
  | {readonly kind: FaultKind.LostAnswers}
  | {readonly kind: FaultKind.Servers; readonly choice: FaultsInput}
  | {readonly kind: FaultKind.ServerLeaves; readonly server: string}
  | {readonly kind: FaultKind.Edit; readonly entry: string}
);

const LONGEST_FAULT_MS = 4_000;
const MOST_STARTS = 5;
const serverFaults: readonly FaultsInput[] = [
  {frozen: true},
  {refuseConnections: true},
  {failAll: true},
  {slowFactor: 6},
  {resetAfterStart: true},
  {loseEveryNthReply: 3},
  {replyDelayMs: 400},
];

/** Draws one fault of a stage, somewhere within `withinMs`. */
export function drawFault(stage: Stage, withinMs: number): fc.Arbitrary<Fault> {
  const entry = fc.constantFrom(...stage.entries.map(({name}) => name));
  const server = fc.constantFrom(
    ...stage.cluster.servers.map(({name}) => name),
  );
  const zone = fc.constantFrom(...stage.cluster.zones);
  const times = {
    afterMs: fc.integer({min: 0, max: withinMs}),
    lastsMs: fc.integer({min: 200, max: LONGEST_FAULT_MS}),
  };
  const onEntry = fc.constantFrom<
    FaultKind.Kill | FaultKind.Stop | FaultKind.Pause
  >(FaultKind.Kill, FaultKind.Stop, FaultKind.Pause);
  const cut = fc.constantFrom(PartitionKind.Closed, PartitionKind.Silent);
  const choice = fc.constantFrom(...serverFaults);
  return fc.oneof(
    fc.record({...times, kind: onEntry, entry}),
    fc.record({...times, kind: fc.constant(FaultKind.Cut as const), zone, cut}),
    fc.record({...times, kind: fc.constant(FaultKind.PlatformOut as const)}),
    fc.record({...times, kind: fc.constant(FaultKind.LostAnswers as const)}),
    fc.record({
      ...times,
      kind: fc.constant(FaultKind.Servers as const),
      choice,
    }),
    fc.record({
      ...times,
      kind: fc.constant(FaultKind.ServerLeaves as const),
      server,
    }),
    fc.record({...times, kind: fc.constant(FaultKind.Edit as const), entry}),
  );
}

/** Makes a fault at its time and takes it back when it is over. */
export async function runFault(stage: Stage, fault: Fault): Promise<void> {
  await pause(fault.afterMs);
  const undo = await beginFault(stage, fault);
  await pause(fault.lastsMs);
  await undo();
}

async function beginFault(
  stage: Stage,
  fault: Fault,
): Promise<() => Promise<void> | void> {
  const {cluster} = stage;
  const {keyValue} = cluster.platform;
  switch (fault.kind) {
    case FaultKind.Kill:
    case FaultKind.Stop:
      return endEntry(stage, fault.entry, fault.kind);
    case FaultKind.Pause: {
      const entry = cluster.entry(fault.entry);
      if (entry.pid !== undefined) entry.pause();
      return () => entry.resume();
    }
    case FaultKind.Cut:
      cluster.partitionZone(fault.zone, fault.cut);
      return () => cluster.healZone(fault.zone);
    case FaultKind.PlatformOut:
      await cluster.setPlatformDown(true);
      return () => cluster.setPlatformDown(false);
    case FaultKind.LostAnswers:
      await keyValue.setFaults({loseAnswers: 2});
      return () => keyValue.setFaults({});
    case FaultKind.Servers:
      await cluster.setFaults(fault.choice);
      return () => cluster.setFaults({});
    case FaultKind.ServerLeaves:
      await cluster.instanceLists.setState(fault.server, InstanceState.Leaving);
      return () =>
        cluster.instanceLists.setState(fault.server, InstanceState.Live);
    case FaultKind.Edit:
      await editQuietly(stage, fault.entry, fault.lastsMs);
      return () => undefined;
  }
}

async function endEntry(
  stage: Stage,
  name: string,
  kind: FaultKind.Kill | FaultKind.Stop,
): Promise<() => Promise<void>> {
  const entry = stage.cluster.entry(name);
  // Another fault has ended it, and starts it again.
  if (entry.pid === undefined) return () => Promise.resolve();
  entry.resume();
  await (kind === FaultKind.Kill ? entry.kill() : entry.stop());
  await stage.cluster.instanceLists.remove(name);
  return async () => {
    entry.launch();
    await stage.cluster.instanceLists.put(stage.describe(entry));
  };
}

/** An edit may meet any fault; what it changes is checked elsewhere. */
async function editQuietly(
  stage: Stage,
  name: string,
  seed: number,
): Promise<void> {
  const edit = {
    editId: `soak-${name}-${seed}`,
    by: 'soak',
    edits: [setKey('/', 'retry.max_starts', 1 + (seed % MOST_STARTS))],
  };
  const sent = stage.sendEdit(name, edit).catch(() => undefined);
  await Promise.race([sent, pause(LONGEST_FAULT_MS)]);
}
