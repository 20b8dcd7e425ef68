/** Applies the platform's list of workers. */
import type {Millis} from '@goldcrestpier/runtime';
import {WorkerRecord, type Worker} from '../../workers/index.js';
import {updateColdness} from './cold_workers.js';
import type {Registry} from '../registry.js';

/** Replaces the list of workers with the current one. */
export function applyWorkerList(
  registry: Registry,
  list: readonly Worker[],
  now: Millis,
): void {
  const listed = new Set(list.map(({id}) => id));
  removeExpiredLeases(registry, now);
  registry.isPlacementDue = true;
  for (const worker of list) applyWorker(registry, worker, now);
  for (const [id, record] of registry.workers) {
    if (listed.has(id)) continue;
    // Its runs end when their leases expire; the record is removed after
    // the last of them.
    record.info = {...record.info, isDraining: true};
    if (record.canBeRemoved(now)) registry.removeWorker(id);
  }
}

function removeExpiredLeases({lateLeases}: Registry, now: Millis): void {
  for (const [id, expiresAt] of lateLeases)
    if (now >= expiresAt) lateLeases.delete(id);
}

function applyWorker(registry: Registry, worker: Worker, now: Millis): void {
  registry.runTimes.setKind(worker.id, worker.kind);
  const known = registry.workers.get(worker.id);
  if (known === undefined) {
    const record = new WorkerRecord(worker);
    record.leasesExpireAt = registry.lateLeases.get(worker.id) ?? 0;
    registry.lateLeases.delete(worker.id);
    registry.workers.set(worker.id, record);
    updateColdness(registry.runTimes, record, worker.coldUntil, now);
    return;
  }
  const {bornAt} = known.info;
  const isChanged = worker.bornAt !== known.listedBornAt;
  const isRestart = isChanged && worker.bornAt > bornAt;
  known.listedBornAt = worker.bornAt;
  known.info = {...worker, bornAt: isRestart ? worker.bornAt : bornAt};
  updateColdness(registry.runTimes, known, worker.coldUntil, now);
  if (!isRestart) return;
  registry.runTimes.forgetSpeed(worker.id);
  registry.crashRecorder.explainLosses(known, true, now);
  // The known runs may belong to the new incarnation, which only the next
  // poll shows.
  known.beginIncarnation(now);
}
