/** Counts starts that were planned for capacity which becomes free later. */
import type {DispatchObserver} from '@goldcrestpier/dispatch';
import type {ZoneMetrics} from '../metrics/index.js';

/** Creates the part that concerns reservations and backfilling. */
export function createPlanObserver({
  plannedStarts,
}: ZoneMetrics): Pick<DispatchObserver, 'startsPlanned'> {
  return {
    startsPlanned({reserved, reservedStarts, backfilledStarts}) {
      plannedStarts.inc({kind: 'reservation'}, reserved);
      plannedStarts.inc({kind: 'reserved'}, reservedStarts);
      plannedStarts.inc({kind: 'backfilled'}, backfilledStarts);
    },
  };
}
