/** Stand-in for a guarded worker, which runs tasks under expiring leases. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import type {Standin} from '../server/index.js';
import {workerOptionsSchema, type WorkerOptions} from './messages.js';
import {WorkerServer} from './worker_server.js';

export {LeaseState} from './lease.js';
export {workerOptionsSchema, type WorkerOptions} from './messages.js';
export type {KindUsage, Resources, UsageReport} from './usage.js';

/** Starts a guarded worker that listens until `lifecycle` closes. */
export async function startWorker(
  options: WorkerOptions,
  lifecycle: Lifecycle,
): Promise<Standin> {
  const worker = new WorkerServer(workerOptionsSchema.parse(options));
  await worker.server.listen(lifecycle);
  lifecycle.own(`${options.name} tasks`, () => worker.stopAll());
  return worker.server.toStandin();
}
