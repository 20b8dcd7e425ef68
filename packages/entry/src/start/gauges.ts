/** Gauges whose values are read when the metrics are collected. */
import {readClock} from '@goldcrestpier/runtime';
import type {Components} from './index.js';

const AGE_WITHOUT_LIST = -1;
const MILLIS_PER_SECOND = 1000;

/** Registers the gauges of this instance. */
export function registerGauges(components: Components): void {
  const {context, platform, membership, placement, sessions} = components;
  const {metrics} = context;
  metrics.registerGauge(
    'open_jobs',
    'Jobs of this instance that have not ended.',
    () => sessions.owner.openJobCount,
  );
  metrics.registerGauge(
    'sessions',
    'Open sessions of this instance.',
    () => sessions.owner.sessionCount,
  );
  metrics.registerGauge(
    'adopted_sessions',
    'Sessions taken over from instances that have shut down.',
    () => sessions.adopted.size,
  );
  metrics.registerGauge('waiting_tasks', 'Tasks waiting for a slot.', () =>
    placement.waiting(readClock()).reduce((sum, {waiting}) => sum + waiting, 0),
  );
  metrics.registerGauge(
    'members',
    'Other instances that are live or leaving and have a link.',
    () => membership.linkedMembers().length,
  );
  metrics.registerGauge(
    'settings_revision',
    'Revision of the settings in force.',
    () => platform.settingsFollower.current.revision,
  );
  metrics.registerGauge(
    'instance_list_age_seconds',
    'Age of the instance list; negative until one has been read.',
    () => {
      const age = platform.instanceList.readAge(readClock());
      return age === undefined ? AGE_WITHOUT_LIST : age / MILLIS_PER_SECOND;
    },
  );
}
