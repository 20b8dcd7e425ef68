/** Limits how many tasks of a step are delegated at a time by an evacuated zone. */
import type {Millis} from '@goldcrestpier/runtime';
import type {RemoteVacancies} from '../../remote_vacancies/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import type {Registry} from '../registry.js';

/**
 * Returns the first tasks that other zones may run now. Each zone may have one
 * worker for them, so that it gets at most as many at a time as a worker may run;
 * the others follow in further waves and don't count as without a place.
 */
export function limitToZones(
  {evacuation}: Registry,
  remoteVacancies: RemoteVacancies,
  record: JobRecord,
  tasks: readonly TaskRecord[],
  now: Millis,
): readonly TaskRecord[] {
  const [first] = tasks;
  const maxPerWorker = first?.step.maxPerWorker;
  if (!evacuation.isActive || first === undefined || maxPerWorker === undefined)
    return tasks;
  let room = 0;
  for (const zone of remoteVacancies.listZones(record.job.service, now))
    room += maxPerWorker - record.countRunningOn(zone, first.name.step);
  // Without a zone the tasks have no place, which refuses a new job.
  return room > 0 ? tasks.slice(0, room) : tasks;
}
