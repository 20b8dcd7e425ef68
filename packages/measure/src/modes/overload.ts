/** Goodput at twice the capacity relative to that at capacity. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import {JobOutcomeKind} from '../caller/index.js';
import {summarize} from '../report/index.js';
import {isComplete, runRound, type RoundResult} from '../round/index.js';
import type {MeasureOptions} from './options.js';
import {drawLoad, launchFirstSize} from './response.js';

const LOADS = [1, 2];
/** Short, so that the queues can't absorb all surplus jobs. */
const DEADLINE_MS = 5_000;

/** Runs one round at capacity and one at twice the capacity. */
export async function measureOverload(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const measuredCluster = await launchFirstSize(options, lifecycle);
  const results = [];
  for (const [index, load] of LOADS.entries()) {
    const {seconds, seed} = options;
    const jobs = drawLoad(
      options,
      measuredCluster,
      seed * 100 + index,
      seconds,
      load,
    );
    const round = await runRound(measuredCluster, jobs, {
      name: `load ${load}`,
      seconds,
      hasFaults: false,
      isSingleAttempt: true,
      deadlineMs: DEADLINE_MS,
    });
    const result = {load, ...summarizeRound(round, seconds)};
    console.log(JSON.stringify(result));
    results.push(result);
  }
  const [atCapacity, atTwiceCapacity] = results;
  const ratio =
    (atTwiceCapacity?.goodWorkPerSecond ?? 0) /
    (atCapacity?.goodWorkPerSecond ?? 0);
  const taskRatio =
    (atTwiceCapacity?.goodTasksPerSecond ?? 0) /
    (atCapacity?.goodTasksPerSecond ?? 0);
  console.log(
    `goodput at twice the capacity relative to that at capacity: ` +
      `${ratio.toFixed(3)} by work, ${taskRatio.toFixed(3)} by tasks`,
  );
  return {results, ratio, byTasks: taskRatio};
}

function summarizeRound(
  {jobs, outcomes, metrics: _}: RoundResult,
  seconds: number,
) {
  const good = jobs.filter((_job, index) => {
    const outcome = outcomes[index];
    return outcome !== undefined && isComplete(outcome);
  });
  const tasks = good.flatMap(job => job.tasks);
  const refused = outcomes.flatMap(({refusals}) => refusals);
  const countKind = (kind: JobOutcomeKind) =>
    outcomes.filter(outcome => outcome.kind === kind).length;
  const codes: Record<string, number> = {};
  for (const {code} of refused) codes[code] = (codes[code] ?? 0) + 1;
  return {
    jobs: jobs.length,
    good: good.length,
    failed: countKind(JobOutcomeKind.Failed),
    refused: countKind(JobOutcomeKind.Refused),
    lost: countKind(JobOutcomeKind.Lost),
    goodTasksPerSecond: tasks.length / seconds,
    goodWorkPerSecond:
      tasks.reduce((sum, {workMs}) => sum + workMs, 0) / seconds,
    codes,
    refusalMs: summarize(refused.map(({ms}) => ms)),
  };
}
