/** The operators' calls that concern all instances. */
import {
  InstanceState,
  type KnownInstance,
  type Membership,
} from '@goldcrestpier/membership';
import type {FleetOperations, InstanceSummary} from '@goldcrestpier/operators';
import {MemberState, type Inspection, type Member} from '@goldcrestpier/peers';
import {JobState} from '@goldcrestpier/protocol';
import {Ok} from 'ts-results-es';
import type {Gateway} from '../gateway/types.js';

const INSPECT_TIMEOUT_MS = 2_000;

/** What these calls are given. */
export interface FleetOptions {
  readonly membership: Membership;
  readonly gateway: Gateway;
  readonly inspectSelf: () => Inspection;
  readonly settingsRevision: () => number;
  /** The settings revision that a peer last showed. */
  readonly peerRevision: (incarnation: string) => number;
  /** Begins the planned stop. */
  readonly drain: () => void;
}

interface FleetView {
  readonly reached: readonly Inspection[];
  readonly unreached: string[];
}

/** Creates the operators' calls that concern all instances. */
export function createFleetOperations(options: FleetOptions): FleetOperations {
  const {membership, gateway} = options;
  const never = new AbortController().signal;
  return {
    async listJobs() {
      const {reached, unreached} = await inspectAll(options);
      return Ok({jobs: reached.flatMap(({jobs}) => jobs), unreached});
    },
    readJob: (session, key) =>
      gateway.read(session, key, {ms: 0, signal: never}),
    cancelJob: (session, key) => gateway.cancel(session, key),
    async listInstances() {
      const {reached} = await inspectAll(options);
      const views = new Map(reached.map(each => [each.incarnation, each]));
      const self = summarize(options, membership.self(), views);
      const peers = membership
        .instances()
        .filter(({state}) => state !== InstanceState.Gone)
        .map(({member}: KnownInstance) => summarize(options, member, views));
      return Ok({instances: [self, ...peers]});
    },
    async listServers() {
      const {reached, unreached} = await inspectAll(options);
      return Ok({servers: reached.flatMap(({servers}) => servers), unreached});
    },
    drain() {
      options.drain();
      const {incarnation, jobs} = options.inspectSelf();
      return Promise.resolve(Ok({incarnation, openJobs: countOpen(jobs)}));
    },
  };
}

async function inspectAll(options: FleetOptions): Promise<FleetView> {
  const {membership, inspectSelf} = options;
  const known = membership
    .instances()
    .filter(({state}) => state !== InstanceState.Gone);
  const unreached: string[] = [];
  const reached = [inspectSelf()];
  const asked = known.map(async ({member: {incarnation}}) => {
    const link = membership.findLink(incarnation);
    const answer = await link?.inspect(INSPECT_TIMEOUT_MS);
    if (answer?.isOk()) reached.push(answer.value);
    else unreached.push(incarnation);
  });
  await Promise.all(asked);
  return {reached, unreached: unreached.sort()};
}

function summarize(
  {membership, settingsRevision, peerRevision}: FleetOptions,
  {incarnation, zone, instance, state, peerAddress, weight}: Member,
  views: ReadonlyMap<string, Inspection>,
): InstanceSummary {
  const isSelf = incarnation === membership.self().incarnation;
  const view = views.get(incarnation);
  return {
    incarnation,
    zone,
    instance,
    state: state ?? MemberState.Live,
    peerAddress,
    weight,
    settingsRevision: isSelf ? settingsRevision() : peerRevision(incarnation),
    reached: view !== undefined,
    openJobs: countOpen(view?.jobs ?? []),
  };
}

function countOpen(jobs: Inspection['jobs']): number {
  return jobs.filter(({state}) => state === JobState.Running).length;
}
