/** Good answers at twice the capacity against those at capacity. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import {EndKind} from '../caller/index.js';
import {summarize} from '../report/index.js';
import {isGood, runRound, type Round} from '../round/index.js';
import type {MeasureOptions} from './options.js';
import {drawLoad, launchFirst} from './response.js';

const LOADS = [1, 2];
/** Short, so that the queues do not just swallow the surplus. */
const DEADLINE_MS = 5_000;

/** Runs a round at capacity and one at twice of it. */
export async function measureOverload(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const fleet = await launchFirst(options, lifecycle);
  const results = [];
  for (const [place, load] of LOADS.entries()) {
    const {seconds, seed} = options;
    const jobs = drawLoad(options, fleet, seed * 100 + place, seconds, load);
    const round = await runRound(fleet, jobs, {
      name: `load ${load}`,
      seconds,
      hasFaults: false,
      isTriedOnce: true,
      deadlineMs: DEADLINE_MS,
    });
    const result = {load, ...sumUp(round, seconds)};
    console.log(JSON.stringify(result));
    results.push(result);
  }
  const [at, over] = results;
  const ratio = (over?.goodWorkPerSecond ?? 0) / (at?.goodWorkPerSecond ?? 0);
  const byTasks =
    (over?.goodTasksPerSecond ?? 0) / (at?.goodTasksPerSecond ?? 0);
  console.log(
    `good answers at twice the capacity to those at capacity: ` +
      `${ratio.toFixed(3)} by work, ${byTasks.toFixed(3)} by tasks`,
  );
  return {results, ratio, byTasks};
}

function sumUp({jobs, ends, figures: _}: Round, seconds: number) {
  const good = jobs.filter((_job, place) => {
    const end = ends[place];
    return end !== undefined && isGood(end);
  });
  const tasks = good.flatMap(job => job.tasks);
  const refused = ends.flatMap(({refusals}) => refusals);
  const countKind = (kind: EndKind) =>
    ends.filter(end => end.kind === kind).length;
  const codes: Record<string, number> = {};
  for (const {code} of refused) codes[code] = (codes[code] ?? 0) + 1;
  return {
    jobs: jobs.length,
    good: good.length,
    failed: countKind(EndKind.Failed),
    refused: countKind(EndKind.Refused),
    lost: countKind(EndKind.Lost),
    goodTasksPerSecond: tasks.length / seconds,
    goodWorkPerSecond:
      tasks.reduce((sum, {workMs}) => sum + workMs, 0) / seconds,
    codes,
    refusalMs: summarize(refused.map(({ms}) => ms)),
  };
}
