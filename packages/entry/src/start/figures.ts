/** Figures that are read when the metrics are. */
import {readClock} from '@goldcrestpier/runtime';
import type {Parts} from './index.js';

const NEVER_READ = -1;
const MILLIS_PER_SECOND = 1000;

/** Shows this instance's figures with its metrics. */
export function watchFigures(parts: Parts): void {
  const {context, platform, membership, placement, sessions} = parts;
  const {metrics} = context;
  metrics.watchGauge(
    'open_jobs',
    'Jobs that have not ended.',
    () => sessions.owner.openJobCount,
  );
  metrics.watchGauge(
    'sessions',
    'Sessions that can be used.',
    () => sessions.owner.sessionCount,
  );
  metrics.watchGauge(
    'adopted_sessions',
    'Sessions of instances that left, for which this one answers.',
    () => sessions.adopted.size,
  );
  metrics.watchGauge('waiting_tasks', 'Tasks that wait for a slot.', () =>
    placement.waiting(readClock()).reduce((sum, {waiting}) => sum + waiting, 0),
  );
  metrics.watchGauge(
    'members',
    'Other instances that answer.',
    () => membership.linkedMembers().length,
  );
  metrics.watchGauge(
    'settings_revision',
    'Revision of the settings in force.',
    () => platform.follower.current.revision,
  );
  metrics.watchGauge(
    'instance_list_age_seconds',
    'Age of the instance list; below 0 before the first.',
    () => {
      const age = platform.list.readAge(readClock());
      return age === undefined ? NEVER_READ : age / MILLIS_PER_SECOND;
    },
  );
}
