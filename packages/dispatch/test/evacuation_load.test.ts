/**
 * Loads of three zones, of which one is evacuated: 245 workers of 16 or 24
 * processors, and 200 jobs a second in each zone, of about 4 tasks each.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  simulateEvacuation,
  WorkerFault,
  type SimulatedLoad,
} from './fixtures/simulated_load.js';

/** Share of the jobs served without the evacuation that have to be served. */
const MIN_SERVED_SHARE = 0.97;

function createLoad(
  taskMs: number,
  cpus: number,
  isLeftOut: boolean,
): SimulatedLoad {
  const workers = Array.from({length: 245}, (_, index) => ({
    cpuMillis: index % 2 === 0 ? 16_000 : 24_000,
    speed: 1,
    fault: WorkerFault.None,
  }));
  return {
    seed: 1,
    lengthMs: 4_000,
    deadlineMs: 1_500,
    tasks: {
      medianCpuMillis: 1_000 * cpus,
      maxCpuMillis: 1_500 * cpus,
      estimateSpread: 0.3,
    },
    zones: [0, 1, 2].map(zone => workers.slice(zone * 82, (zone + 1) * 82)),
    queues: [
      {
        name: 'quotes',
        priority: 0,
        jobsPerS: 600,
        tasks: 4,
        taskMs,
        targetMs: 60,
      },
    ],
    evacuation: {at: 1_000, isLeftOut},
  };
}

// Guards against limits and pauses that a whole zone's load reaches.
for (const [taskMs, cpus] of [
  [200, 3],
  [700, 1],
] as const) {
  test(`EVAC: an evacuated zone with 200 jobs a second has nearly as many served as before, tasks of ${taskMs} ms`, context => {
    const before = simulateEvacuation(createLoad(taskMs, cpus, true));
    const result = simulateEvacuation(createLoad(taskMs, cpus, false));
    const {jobs, served, refused, starts, delegations} = result;
    context.diagnostic(
      `${served} of ${jobs} served, ${before.served} without; ${refused} refused; ${delegations.refused} of ${delegations.sent} delegations refused`,
    );
    assert.equal(starts, 0);
    assert.ok(jobs > 300, `${jobs}`);
    const least = MIN_SERVED_SHARE * before.served;
    assert.ok(served >= least, `${served}, ${before.served} without`);
  });
}
