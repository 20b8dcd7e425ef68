/** Launches the measured cluster, reads its metrics and sets its policy. */
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
import {parseMetrics, sumByName, type MetricValues} from '../metrics/index.js';

export const SLOTS_PER_RUNNER = 8;
export const SERVICE = 'invoicing';
const ZONES = ['batangas-1', 'batangas-2', 'batangas-3'];
const SPEEDS = [1, 1.5, 2, 2.5, 3];
const WEIGHTS = [2, 1, 1, 3, 1, 2];
const CLIENT_DELAY_MS = 3;
const STANDIN_PROCESSES = 3;
const WAIT_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;

/** Size and network of the cluster. */
export interface ClusterSize {
  readonly entries: number;
  readonly runners: number;
  readonly isRelayed: boolean;
  readonly betweenZonesMs: number;
}

/** A running cluster with the speeds and weights that it was planned with. */
export interface MeasuredCluster {
  readonly cluster: Cluster;
  /** Speed of each slot of each runner. */
  readonly slotSpeeds: readonly number[];
  /** Speed of each runner, by its name. */
  readonly speedByRunner: ReadonlyMap<string, number>;
  /** Weight of each entry instance. */
  readonly weights: readonly number[];
}

/** Launches a cluster and waits until its instances see each other. */
export async function launchMeasuredCluster(
  size: ClusterSize,
  lifecycle: Lifecycle,
): Promise<MeasuredCluster> {
  const zones = planCluster(size);
  const cluster = await launchCluster(
    {
      zones,
      isRelayed: size.isRelayed,
      delays: {
        betweenZonesMs: size.betweenZonesMs,
        toClientsMs: CLIENT_DELAY_MS,
      },
      standinProcesses: STANDIN_PROCESSES,
      logLevel: 'warn',
    },
    lifecycle,
  );
  await waitForMetric(
    cluster.entries,
    'goldcrestpier_members',
    value => value >= size.entries - 1,
  );
  const runners = zones.flatMap(zone => zone.runners);
  return {
    cluster,
    slotSpeeds: runners.flatMap(({speed = 1}) =>
      Array.from({length: SLOTS_PER_RUNNER}, () => speed),
    ),
    speedByRunner: new Map(runners.map(({name, speed = 1}) => [name, speed])),
    weights: zones.flatMap(zone => zone.entries.map(each => each.weight ?? 1)),
  };
}

/** Reads the metrics of each instance; empty for one that is not running. */
export function readMetrics(
  entries: readonly EntryProcess[],
): Promise<MetricValues[]> {
  return Promise.all(
    entries.map(async ({addresses, pid}) => {
      if (pid === undefined) return new Map<string, number>();
      const {body} = await request(`http://${addresses.directCallers}/metrics`);
      return parseMetrics(await body.text());
    }),
  );
}

/**
 * Sets the policy at the root and waits until every running instance applies
 * it.
 */
export async function setPolicy(
  {cluster}: MeasuredCluster,
  policy: PolicyKind,
  editId: string,
): Promise<void> {
  const [entry] = cluster.entries.filter(({pid}) => pid !== undefined);
  if (entry === undefined) throw new Error('no entry instance is running');
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
  await waitForMetric(
    cluster.entries,
    'goldcrestpier_settings_revision',
    value => value >= answer.revision,
  );
}

async function waitForMetric(
  entries: readonly EntryProcess[],
  name: string,
  isReached: (value: number) => boolean,
): Promise<void> {
  const endAt = readClock() + WAIT_TIMEOUT_MS;
  const running = entries.filter(({pid}) => pid !== undefined);
  for (;;) {
    const readings = await readMetrics(running);
    if (readings.every(each => isReached(sumByName(each, name)))) return;
    if (readClock() > endAt) throw new Error(`timed out waiting for ${name}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

function planCluster({entries, runners}: ClusterSize): ZonePlan[] {
  const zones = planZones({
    zones: ZONES,
    entriesPerZone: Math.ceil(entries / ZONES.length),
    runnersPerZone: Math.ceil(runners / ZONES.length),
    service: SERVICE,
    speeds: SPEEDS,
  });
  return zones.map((zone, zoneIndex) => ({
    ...zone,
    entries: zone.entries
      .filter(
        (_, entryIndex) => entryIndex * ZONES.length + zoneIndex < entries,
      )
      .map((entry, entryIndex) => ({
        ...entry,
        weight:
          WEIGHTS[(entryIndex * ZONES.length + zoneIndex) % WEIGHTS.length] ??
          1,
      })),
  }));
}
