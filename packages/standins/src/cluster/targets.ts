/** Entries of a cluster's instances in the instance list. */
import {
  InstanceRole,
  InstanceState,
  type InstanceTarget,
} from '../instance_list/index.js';
import {runnerOptionsSchema} from '../runner/index.js';
import {workerOptionsSchema} from '../worker/index.js';
import type {EntryProcess} from './entry_process.js';
import type {RunnerPlan, WorkerPlan} from './plan.js';

/** Entry of a runner in `zone`. */
export function describeRunner(
  zone: string,
  plan: RunnerPlan,
  address: string,
): InstanceTarget {
  const {service, ...options} = plan;
  const {name, slots} = runnerOptionsSchema.parse(options);
  return {
    targets: [address],
    labels: {
      role: InstanceRole.Runner,
      name,
      zone,
      state: InstanceState.Live,
      service,
      slots: String(slots),
    },
  };
}

/** Entry of a guarded worker in `zone`. */
export function describeWorker(
  zone: string,
  plan: WorkerPlan,
  address: string,
): InstanceTarget {
  const {rack, ...options} = plan;
  const worker = workerOptionsSchema.parse(options);
  return {
    targets: [address],
    labels: {
      role: InstanceRole.Worker,
      name: worker.name,
      zone,
      state: InstanceState.Live,
      processors: String(worker.processors),
      memory_mb: String(worker.memoryMb),
      accelerators: String(worker.accelerators),
      rack: rack ?? `${zone}-1`,
    },
  };
}

/** Entry of an entry instance. */
export function describeEntry(entry: EntryProcess): InstanceTarget {
  return {
    targets: [entry.addresses.directCallers],
    labels: {
      role: InstanceRole.Entry,
      name: entry.name,
      zone: entry.zone,
      state: InstanceState.Live,
      peer_address: entry.addresses.peers,
    },
  };
}
