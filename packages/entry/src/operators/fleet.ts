/** Operations of operators on jobs, instances and backend servers. */
import {
  InstanceState,
  type KnownInstance,
  type Membership,
} from '@goldcrestpier/membership';
import type {FleetOperations, InstanceSummary} from '@goldcrestpier/operators';
import {MemberState, type Inspection, type Member} from '@goldcrestpier/peers';
import {JobState} from '@goldcrestpier/protocol';
import {Ok} from 'ts-results-es';
import type {Gateway} from '../gateway/gateway.js';

const INSPECT_TIMEOUT_MS = 2_000;

/** Dependencies of the operations. */
export interface FleetOptions {
  readonly membership: Membership;
  readonly gateway: Gateway;
  readonly inspectSelf: () => Inspection;
  readonly getSettingsRevision: () => number;
  /** Returns the settings revision in the latest heartbeat of a peer. */
  readonly getPeerRevision: (incarnation: string) => number;
  /** Starts the planned stop without waiting for its end. */
  readonly drain: () => void;
}

interface FleetInspection {
  readonly reached: readonly Inspection[];
  readonly unreached: string[];
}

/** Creates the operations, which ask every peer that is not known to be gone. */
export function createFleetOperations(options: FleetOptions): FleetOperations {
  const {membership, gateway} = options;
  const neverAborted = new AbortController().signal;
  return {
    async listJobs() {
      const {reached, unreached} = await inspectAll(options);
      return Ok({jobs: reached.flatMap(({jobs}) => jobs), unreached});
    },
    readJob: (session, key) =>
      gateway.read(session, key, {ms: 0, signal: neverAborted}),
    cancelJob: (session, key) => gateway.cancel(session, key),
    async listInstances() {
      const {reached} = await inspectAll(options);
      const inspections = new Map(
        reached.map(each => [each.incarnation, each]),
      );
      const self = summarizeInstance(options, membership.self(), inspections);
      const peers = membership
        .instances()
        .filter(({state}) => state !== InstanceState.Gone)
        .map(({member}: KnownInstance) =>
          summarizeInstance(options, member, inspections),
        );
      return Ok({instances: [self, ...peers]});
    },
    async listServers() {
      const {reached, unreached} = await inspectAll(options);
      return Ok({servers: reached.flatMap(({servers}) => servers), unreached});
    },
    drain() {
      options.drain();
      const {incarnation, jobs} = options.inspectSelf();
      return Promise.resolve(Ok({incarnation, openJobs: countOpenJobs(jobs)}));
    },
  };
}

async function inspectAll(options: FleetOptions): Promise<FleetInspection> {
  const {membership, inspectSelf} = options;
  const peers = membership
    .instances()
    .filter(({state}) => state !== InstanceState.Gone);
  const unreached: string[] = [];
  const reached = [inspectSelf()];
  const calls = peers.map(async ({member: {incarnation}}) => {
    const link = membership.findLink(incarnation);
    const answer = await link?.inspect(INSPECT_TIMEOUT_MS);
    if (answer?.isOk()) reached.push(answer.value);
    else unreached.push(incarnation);
  });
  await Promise.all(calls);
  return {reached, unreached: unreached.sort()};
}

function summarizeInstance(
  {membership, getSettingsRevision, getPeerRevision}: FleetOptions,
  {incarnation, zone, instance, state, peerAddress, weight}: Member,
  inspections: ReadonlyMap<string, Inspection>,
): InstanceSummary {
  const isSelf = incarnation === membership.self().incarnation;
  const inspection = inspections.get(incarnation);
  return {
    incarnation,
    zone,
    instance,
    state: state ?? MemberState.Live,
    peerAddress,
    weight,
    settingsRevision: isSelf
      ? getSettingsRevision()
      : getPeerRevision(incarnation),
    reached: inspection !== undefined,
    openJobs: countOpenJobs(inspection?.jobs ?? []),
  };
}

function countOpenJobs(jobs: Inspection['jobs']): number {
  return jobs.filter(({state}) => state === JobState.Running).length;
}
