/** Demo: runs a cluster on this machine, sends jobs to it and stops it. */
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

/** Runs the demo. Returns whether all jobs and exit codes were as expected. */
export async function runDemo(lifecycle: Lifecycle): Promise<boolean> {
  const agent = new Agent();
  lifecycle.own('callers', () => agent.destroy());
  const caller = new Caller(agent);
  console.log('starting three zones');
  const cluster = await launchCluster(planDemo(), lifecycle);
  printCluster(cluster);
  const isInvoicingDone = await runJob(cluster, caller, createInvoicingJob(), {
    first: 'e1-1',
    second: 'e2-1',
  });
  const isReleaseDone = await runJob(cluster, caller, createReleaseJob(), {
    first: 'e2-2',
    second: 'e3-2',
  });
  const isPricingDone = await runJob(cluster, caller, createPricingJob(), {
    first: 'e3-1',
    second: 'e1-2',
  });
  const isStopClean = await stopEntries(cluster);
  return isInvoicingDone && isReleaseDone && isPricingDone && isStopClean;
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
    const outcome = signal === null ? `exit code ${code}` : signal;
    console.log(`  ${entries[index]?.name}: ${outcome}`);
  }
  return exits.every(({code}) => code === 0);
}
