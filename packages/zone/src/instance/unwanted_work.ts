/** Cancels jobs and delegated tasks that nobody waits for any more. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Holder} from '../holder/index.js';
import type {OtherZones} from './other_zones.js';
import type {ZoneView} from './zone_view.js';

/** What an instance knows of those that wait for work of its holder. */
export interface WaitingParties {
  /** ID of this instance. */
  readonly id: string;
  readonly view: ZoneView;
  readonly zones: OtherZones;
}

/**
 * Cancels the work of owners and zones that are gone or no longer want it, and
 * finds the jobs that go on meanwhile.
 */
export function updateUnwantedWork(
  holder: Holder,
  {id, view, zones}: WaitingParties,
  now: Millis,
): void {
  holder.cancelJobsOfLostOwners(
    ownerId => ownerId === id || view.isAlive(ownerId, now),
  );
  holder.cancelUnwantedTasks((zone, token) =>
    zones.isTaskWanted(zone, token, now),
  );
  holder.updateAbandonedJobs((zone, token) =>
    zones.isTaskConfirmed(zone, token, now),
  );
}
