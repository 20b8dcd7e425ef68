/** The cluster that is measured, and what is asked of it. */
import {
  launchCluster,
  planZones,
  type Cluster,
  type EntryProcess,
  type ZonePlan,
} from '@goldcrestpier/standins';
import {EditKind, type PolicyKind} from '@goldcrestpier/settings';
import {readClock, sleep, type Lifecycle} from '@goldcrestpier/runtime';
import {request} from 'undici';
import {parseMetrics, sumOf, type Figures} from '../metrics/index.js';

export const SLOTS = 8;
export const SERVICE = 'invoicing';
const ZONES = ['batangas-1', 'batangas-2', 'batangas-3'];
const SPEEDS = [1, 1.5, 2, 2.5, 3];
const WEIGHTS = [2, 1, 1, 3, 1, 2];
const TO_CLIENTS_MS = 3;
const STANDIN_PROCESSES = 3;
const LONGEST_WAIT_MS = 60_000;
const LOOK_MS = 50;

/** How large the cluster is. */
export interface Size {
  readonly entries: number;
  readonly runners: number;
  readonly isRelayed: boolean;
  readonly betweenZonesMs: number;
}

/** A running cluster with the speeds of its slots. */
export interface Fleet {
  readonly cluster: Cluster;
  /** Speed of each slot of each runner. */
  readonly slotSpeeds: readonly number[];
  /** Speed of each runner by name. */
  readonly speeds: ReadonlyMap<string, number>;
  /** Weight of each entry instance. */
  readonly weights: readonly number[];
}

/** Launches a cluster and waits until its instances see each other. */
export async function launchFleet(
  size: Size,
  lifecycle: Lifecycle,
): Promise<Fleet> {
  const zones = planFleet(size);
  const cluster = await launchCluster(
    {
      zones,
      isRelayed: size.isRelayed,
      delays: {
        betweenZonesMs: size.betweenZonesMs,
        toClientsMs: TO_CLIENTS_MS,
      },
      standinProcesses: STANDIN_PROCESSES,
      logLevel: 'warn',
    },
    lifecycle,
  );
  await waitForFigure(
    cluster.entries,
    'goldcrestpier_members',
    found => found >= size.entries - 1,
  );
  const runners = zones.flatMap(zone => zone.runners);
  return {
    cluster,
    slotSpeeds: runners.flatMap(({speed = 1}) =>
      Array.from({length: SLOTS}, () => speed),
    ),
    speeds: new Map(runners.map(({name, speed = 1}) => [name, speed])),
    weights: zones.flatMap(zone => zone.entries.map(each => each.weight ?? 1)),
  };
}

/** Reads the metrics of every instance that runs. */
export function readFigures(
  entries: readonly EntryProcess[],
): Promise<Figures[]> {
  return Promise.all(
    entries.map(async ({addresses, pid}) => {
      if (pid === undefined) return new Map<string, number>();
      const {body} = await request(`http://${addresses.directCallers}/metrics`);
      return parseMetrics(await body.text());
    }),
  );
}

/** Sets the policy at the root and waits until it is in force everywhere. */
export async function setPolicy(
  {cluster}: Fleet,
  policy: PolicyKind,
  editId: string,
): Promise<void> {
  const [entry] = cluster.entries.filter(({pid}) => pid !== undefined);
  if (entry === undefined) throw new Error('no entry instance runs');
  const {addresses, operatorsToken} = entry;
  const url = `http://${addresses.operators}/operators/v1/settings/edits`;
  const edits = [
    {kind: EditKind.Set, node: '/', key: 'placement.policy', value: policy},
  ];
  const {statusCode, body} = await request(url, {
    method: 'POST',
    headers: {authorization: `Bearer ${operatorsToken}`},
    body: JSON.stringify({editId, by: 'measure', edits}),
  });
  const answer = (await body.json()) as {revision: number};
  if (statusCode !== 200) throw new Error(JSON.stringify(answer));
  await waitForFigure(
    cluster.entries,
    'goldcrestpier_settings_revision',
    found => found >= answer.revision,
  );
}

async function waitForFigure(
  entries: readonly EntryProcess[],
  name: string,
  isReached: (found: number) => boolean,
): Promise<void> {
  const endAt = readClock() + LONGEST_WAIT_MS;
  const running = entries.filter(({pid}) => pid !== undefined);
  for (;;) {
    const readings = await readFigures(running);
    if (readings.every(each => isReached(sumOf(each, name)))) return;
    if (readClock() > endAt) throw new Error(`waited in vain for ${name}`);
    await sleep(LOOK_MS);
  }
}

function planFleet({entries, runners}: Size): ZonePlan[] {
  const zones = planZones({
    zones: ZONES,
    entriesPerZone: Math.ceil(entries / ZONES.length),
    runnersPerZone: Math.ceil(runners / ZONES.length),
    service: SERVICE,
    speeds: SPEEDS,
  });
  return zones.map((zone, index) => ({
    ...zone,
    entries: zone.entries
      .filter((_, place) => place * ZONES.length + index < entries)
      .map((entry, place) => ({
        ...entry,
        weight: WEIGHTS[(place * ZONES.length + index) % WEIGHTS.length] ?? 1,
      })),
  }));
}
