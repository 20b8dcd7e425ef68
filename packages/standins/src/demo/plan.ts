/** Cluster of the demo: three zones, six entry instances, two services. */
import {
  planZones,
  type ClusterPlan,
  type RunnerPlan,
  type ZonePlan,
} from '../cluster/index.js';
import {INVOICING, PRICING} from './jobs.js';

const ZONES = ['batangas-1', 'batangas-2', 'batangas-3'];
const ENTRIES_PER_ZONE = 2;
const RUNNERS_PER_ZONE = 4;
const WORKERS_PER_ZONE = 2;
const SPEEDS = [1, 2, 3];
const BETWEEN_ZONES_MS = 0.5;
const TO_CLIENTS_MS = 3;

/** Plan of the demo's cluster, with network delays. */
export function planDemo(): ClusterPlan {
  const zones = planZones({
    zones: ZONES,
    entriesPerZone: ENTRIES_PER_ZONE,
    runnersPerZone: RUNNERS_PER_ZONE,
    speeds: SPEEDS,
    workersPerZone: WORKERS_PER_ZONE,
  });
  return {
    zones: zones.map(assignServices),
    isRelayed: true,
    delays: {betweenZonesMs: BETWEEN_ZONES_MS, toClientsMs: TO_CLIENTS_MS},
  };
}

/** Assigns the two services to the runners in turn. */
function assignServices(zone: ZonePlan): ZonePlan {
  const runners = zone.runners.map((runner, index): RunnerPlan => ({
    ...runner,
    service: index % 2 === 0 ? INVOICING : PRICING,
  }));
  return {...zone, runners};
}
