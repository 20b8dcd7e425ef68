/** Runs several stand-ins in one process, each on its own ports. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import {startInstanceList} from '../instance_list/index.js';
import {startKeyValue} from '../kv/index.js';
import {startRunner} from '../runner/index.js';
import {startWorker} from '../worker/index.js';
import {
  hostPlanSchema,
  StandinKind,
  type ParsedStandinPlan,
  type HostedStandin,
  type HostPlan,
} from './plan.js';

export {
  hostReportSchema,
  StandinKind,
  type HostedStandin,
  type HostPlan,
  type StandinPlan,
} from './plan.js';

const HOST = '127.0.0.1';

/** Starts the stand-ins of `plan`, which run until `lifecycle` closes. */
export async function hostStandins(
  plan: HostPlan,
  lifecycle: Lifecycle,
): Promise<HostedStandin[]> {
  const {standins} = hostPlanSchema.parse(plan);
  const hosted: HostedStandin[] = [];
  for (const standin of standins)
    hosted.push(await startStandin(standin, lifecycle));
  return hosted;
}

async function startStandin(
  plan: ParsedStandinPlan,
  lifecycle: Lifecycle,
): Promise<HostedStandin> {
  const {kind} = plan;
  const {name} = plan.options;
  switch (plan.kind) {
    case StandinKind.Runner: {
      const runner = await startRunner(plan.options, lifecycle);
      const {address, adminAddress} = runner;
      return {kind, name, address, adminAddress};
    }
    case StandinKind.Worker: {
      const worker = await startWorker(plan.options, lifecycle);
      const {address, adminAddress} = worker;
      return {kind, name, address, adminAddress};
    }
    case StandinKind.InstanceList: {
      const list = await startInstanceList(plan.options, lifecycle);
      const {address, adminAddress} = list;
      return {kind, name, address, adminAddress};
    }
    case StandinKind.KeyValue: {
      const {port} = plan.options;
      const service = await startKeyValue({host: HOST, port});
      lifecycle.own(name, () => service.close());
      const address = new URL(service.address).host;
      return {kind, name, address, adminAddress: address};
    }
  }
}
