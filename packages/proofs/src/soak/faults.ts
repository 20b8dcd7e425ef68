/** The faults of a soak test: how they are drawn, injected and undone. */
import {setTimeout as pause} from 'node:timers/promises';
import {
  PartitionKind,
  InstanceState,
  type FaultsInput,
} from '@goldcrestpier/standins';
import * as fc from 'fast-check';
import {createSetEdit, type ClusterFixture} from '../fixture/index.js';

/** Kinds of fault. */
export enum FaultKind {
  Kill = 'kill',
  Stop = 'stop',
  Pause = 'pause',
  ZoneCut = 'cut',
  PlatformOutage = 'platform_out',
  LostPlatformResponses = 'lost_answers',
  ServerFaults = 'servers',
  ServerLeaving = 'server_leaves',
  SettingsEdit = 'edit',
}

/** One fault of a schedule; `delayMs` counts from the start of the round. */
export type Fault = {
  readonly delayMs: number;
  readonly durationMs: number;
} & (
  | {
      readonly kind: FaultKind.Kill | FaultKind.Stop | FaultKind.Pause;
      readonly entry: string;
    }
  | {
      readonly kind: FaultKind.ZoneCut;
      readonly zone: string;
      readonly cut: PartitionKind;
    }
  | {readonly kind: FaultKind.PlatformOutage}
  | {readonly kind: FaultKind.LostPlatformResponses}
  | {readonly kind: FaultKind.ServerFaults; readonly choice: FaultsInput}
  | {readonly kind: FaultKind.ServerLeaving; readonly server: string}
  | {readonly kind: FaultKind.SettingsEdit; readonly entry: string}
);

const MAX_FAULT_MS = 4_000;
const MAX_TASK_STARTS = 5;
const SERVER_FAULTS: readonly FaultsInput[] = [
  {frozen: true},
  {refuseConnections: true},
  {failAll: true},
  {slowFactor: 6},
  {resetAfterStart: true},
  {loseEveryNthReply: 3},
  {replyDelayMs: 400},
];

/** Draws one fault that starts within `windowMs`. */
export function drawFault(
  fixture: ClusterFixture,
  windowMs: number,
): fc.Arbitrary<Fault> {
  const entry = fc.constantFrom(...fixture.entries.map(({name}) => name));
  const server = fc.constantFrom(
    ...fixture.cluster.servers.map(({name}) => name),
  );
  const zone = fc.constantFrom(...fixture.cluster.zones);
  const times = {
    delayMs: fc.integer({min: 0, max: windowMs}),
    durationMs: fc.integer({min: 200, max: MAX_FAULT_MS}),
  };
  const entryFaultKind = fc.constantFrom<
    FaultKind.Kill | FaultKind.Stop | FaultKind.Pause
  >(FaultKind.Kill, FaultKind.Stop, FaultKind.Pause);
  const cut = fc.constantFrom(PartitionKind.Closed, PartitionKind.Silent);
  const choice = fc.constantFrom(...SERVER_FAULTS);
  return fc.oneof(
    fc.record({...times, kind: entryFaultKind, entry}),
    fc.record({
      ...times,
      kind: fc.constant(FaultKind.ZoneCut as const),
      zone,
      cut,
    }),
    fc.record({...times, kind: fc.constant(FaultKind.PlatformOutage as const)}),
    fc.record({
      ...times,
      kind: fc.constant(FaultKind.LostPlatformResponses as const),
    }),
    fc.record({
      ...times,
      kind: fc.constant(FaultKind.ServerFaults as const),
      choice,
    }),
    fc.record({
      ...times,
      kind: fc.constant(FaultKind.ServerLeaving as const),
      server,
    }),
    fc.record({
      ...times,
      kind: fc.constant(FaultKind.SettingsEdit as const),
      entry,
    }),
  );
}

/** Injects a fault after its delay and undoes it after its duration. */
export async function injectFault(
  fixture: ClusterFixture,
  fault: Fault,
): Promise<void> {
  await pause(fault.delayMs);
  const undo = await startFault(fixture, fault);
  await pause(fault.durationMs);
  await undo();
}

async function startFault(
  fixture: ClusterFixture,
  fault: Fault,
): Promise<() => Promise<void> | void> {
  const {cluster} = fixture;
  const {keyValue} = cluster.platform;
  switch (fault.kind) {
    case FaultKind.Kill:
    case FaultKind.Stop:
      return terminateEntry(fixture, fault.entry, fault.kind);
    case FaultKind.Pause: {
      const entry = cluster.entry(fault.entry);
      if (entry.pid !== undefined) entry.pause();
      return () => entry.resume();
    }
    case FaultKind.ZoneCut:
      cluster.partitionZone(fault.zone, fault.cut);
      return () => cluster.healZone(fault.zone);
    case FaultKind.PlatformOutage:
      await cluster.setPlatformDown(true);
      return () => cluster.setPlatformDown(false);
    case FaultKind.LostPlatformResponses:
      await keyValue.setFaults({loseAnswers: 2});
      return () => keyValue.setFaults({});
    case FaultKind.ServerFaults:
      await cluster.setFaults(fault.choice);
      return () => cluster.setFaults({});
    case FaultKind.ServerLeaving:
      await cluster.instanceLists.setState(fault.server, InstanceState.Leaving);
      return () =>
        cluster.instanceLists.setState(fault.server, InstanceState.Live);
    case FaultKind.SettingsEdit:
      await editSettingsIgnoringFailure(fixture, fault.entry, fault.durationMs);
      return () => undefined;
  }
}

async function terminateEntry(
  fixture: ClusterFixture,
  name: string,
  kind: FaultKind.Kill | FaultKind.Stop,
): Promise<() => Promise<void>> {
  const entry = fixture.cluster.entry(name);
  // Another fault has ended this process and will start it again.
  if (entry.pid === undefined) return () => Promise.resolve();
  entry.resume();
  await (kind === FaultKind.Kill ? entry.kill() : entry.stop());
  await fixture.cluster.instanceLists.remove(name);
  return async () => {
    entry.launch();
    await fixture.cluster.instanceLists.put(fixture.describeEntry(entry));
  };
}

/** Other faults may make the edit fail; other tests check what edits change. */
async function editSettingsIgnoringFailure(
  fixture: ClusterFixture,
  name: string,
  seed: number,
): Promise<void> {
  const edit = {
    editId: `soak-${name}-${seed}`,
    by: 'soak',
    edits: [
      createSetEdit('/', 'retry.max_starts', 1 + (seed % MAX_TASK_STARTS)),
    ],
  };
  const sent = fixture.sendSettingsEdit(name, edit).catch(() => undefined);
  await Promise.race([sent, pause(MAX_FAULT_MS)]);
}
