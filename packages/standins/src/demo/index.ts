/** The demo: a whole cluster on this machine, jobs through it, a clean stop. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import {Agent} from 'undici';
import {launchCluster, type Cluster} from '../cluster/index.js';
import {Caller} from './caller.js';
import {
  createInvoicingJob,
  createPricingJob,
  createReleaseJob,
} from './jobs.js';
import {planDemo} from './plan.js';
import {runJob} from './run_job.js';

/** Runs the demo; whether everything went as promised. */
export async function runDemo(lifecycle: Lifecycle): Promise<boolean> {
  const connections = new Agent();
  lifecycle.own('callers', () => connections.destroy());
  const caller = new Caller(connections);
  console.log('starting three zones');
  const cluster = await launchCluster(planDemo(), lifecycle);
  printCluster(cluster);
  const isInvoiced = await runJob(cluster, caller, createInvoicingJob(), {
    first: 'e1-1',
    second: 'e2-1',
  });
  const isReleased = await runJob(cluster, caller, createReleaseJob(), {
    first: 'e2-2',
    second: 'e3-2',
  });
  const isPriced = await runJob(cluster, caller, createPricingJob(), {
    first: 'e3-1',
    second: 'e1-2',
  });
  const isStopped = await stopEntries(cluster);
  return isInvoiced && isReleased && isPriced && isStopped;
}

function printCluster(cluster: Cluster): void {
  const {entries, runners, workers} = cluster;
  console.log(
    `${entries.length} entry instances, ${runners.length} runners, ` +
      `${workers.length} guarded workers, a key-value service and an ` +
      `instance list for each zone`,
  );
  for (const {name, zone, url, pid} of entries) {
    console.log(`  ${name} in ${zone} at ${url}, process ${pid}`);
  }
}

async function stopEntries({entries}: Cluster): Promise<boolean> {
  console.log('\nstopping the entry instances (SIGTERM)');
  const exits = await Promise.all(entries.map(entry => entry.stop()));
  for (const [index, {code, signal}] of exits.entries()) {
    const end = signal === null ? `exit code ${code}` : signal;
    console.log(`  ${entries[index]?.name}: ${end}`);
  }
  return exits.every(({code}) => code === 0);
}
