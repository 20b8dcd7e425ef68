/**
 * Aggregates the rounds of one policy and compares them with both baselines.
 */
import {loadavg} from 'node:os';
import type {MeasuredCluster} from '../cluster/index.js';
import {
  runCentralQueue,
  runOnFastest,
  type BaselineJob,
} from '../baselines/index.js';
import {
  sumMetrics,
  groupByLabel,
  sumByName,
  type MetricValues,
} from '../metrics/index.js';
import {isComplete, type RoundResult} from '../round/index.js';
import {computeRatios, summarize, type Summary} from './summary.js';

const MEBIBYTE = 1_048_576;

/** Measured response times, those of both baselines, and ratios. */
export interface ResponseTimes {
  readonly found: Summary;
  readonly centralQueue: Summary;
  readonly fastestServer: Summary;
  readonly toCentralQueue: Omit<Summary, 'count'>;
}

/** Resources that one entry instance used over all rounds. */
export interface InstanceUsage {
  readonly processorShare: number;
  readonly residentMb: number;
  readonly peerBytesPerSecond: number;
}

/** Results of one policy. */
export interface Report {
  readonly policy: string;
  readonly jobs: Readonly<Record<string, number>>;
  readonly tasks: number;
  /** Task starts at the servers beyond the first of each task. */
  readonly doubledStarts: number;
  readonly taskResponse: ResponseTimes;
  /**
   * Mean wait of a task before its start, measured and with the central queue.
   */
  readonly meanWaitMs: {readonly found: number; readonly centralQueue: number};
  readonly jobResponse: ResponseTimes;
  readonly messages: Readonly<Record<string, number>>;
  readonly messagesPerAnswer: number;
  readonly wasted: Readonly<Record<string, number>>;
  readonly wastedShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly retries: Readonly<Record<string, number>>;
  readonly instances: readonly InstanceUsage[];
  /** Processor time of all instances per task, in milliseconds. */
  readonly processorMsPerTask: number;
  /** Bytes that all instances exchange with peers per task. */
  readonly peerBytesPerTask: number;
  /** Load average of the machine over one minute. */
  readonly machineLoad: number;
}

/** Aggregates the rounds of one policy. */
export function createReport(
  policy: string,
  rounds: readonly RoundResult[],
  {slotSpeeds}: MeasuredCluster,
): Report {
  const metrics = sumMetrics(rounds.flatMap(round => round.metrics));
  const measuredJobs = rounds.flatMap(selectMeasuredJobs);
  const central = rounds.flatMap(({jobs}) => runCentralQueue(jobs, slotSpeeds));
  const fastest = rounds.flatMap(({jobs}) => runOnFastest(jobs, slotSpeeds));
  const measuredKeys = new Set(measuredJobs.map(({key}) => key));
  const messages = groupByLabel(
    metrics,
    'goldcrestpier_messages_total',
    'kind',
  );
  const wasted = groupByLabel(
    metrics,
    'goldcrestpier_wasted_messages_total',
    'kind',
  );
  const tasks = sumByName(metrics, 'goldcrestpier_tasks_total');
  return {
    policy,
    jobs: countOutcomes(rounds),
    tasks,
    doubledStarts: countDuplicateStarts(rounds),
    taskResponse: compareResponseTimes(
      measuredJobs.flatMap(({tasksMs}) => tasksMs),
      listTaskTimes(central, measuredKeys),
      listTaskTimes(fastest, measuredKeys),
    ),
    meanWaitMs: {
      found: summarize(measuredJobs.flatMap(({waitsMs}) => waitsMs)).mean,
      centralQueue: summarize(
        central
          .filter(({job}) => measuredKeys.has(job.key))
          .flatMap(({waitsMs}) => waitsMs),
      ).mean,
    },
    jobResponse: compareResponseTimes(
      measuredJobs.map(({jobMs}) => jobMs),
      listJobTimes(central, measuredKeys),
      listJobTimes(fastest, measuredKeys),
    ),
    messages,
    messagesPerAnswer: sumCounts(messages) / tasks,
    wasted,
    wastedShare: sumCounts(wasted) / sumCounts(messages),
    refusals: groupByLabel(metrics, 'goldcrestpier_refusals_total', 'reason'),
    retries: groupByLabel(metrics, 'goldcrestpier_retries_total', 'reason'),
    instances: computeInstanceUsage(rounds),
    processorMsPerTask:
      (sumByName(metrics, 'process_cpu_seconds_total') * 1_000) / tasks,
    peerBytesPerTask:
      sumByName(metrics, 'goldcrestpier_peer_bytes_total') / tasks,
    machineLoad: loadavg()[0] ?? 0,
  };
}

interface MeasuredJob {
  readonly key: string;
  readonly jobMs: number;
  readonly tasksMs: readonly number[];
  readonly waitsMs: readonly number[];
}

/** Selects the jobs that completed and were not cancelled. */
function selectMeasuredJobs({
  jobs,
  outcomes,
  starts,
}: RoundResult): MeasuredJob[] {
  return jobs.flatMap((job, index) => {
    const outcome = outcomes[index];
    if (outcome === undefined || !isComplete(outcome)) return [];
    if (job.cancelAtMs !== undefined) return [];
    const timed = starts.get(job.key) ?? [];
    const tasksMs = timed.map(({responseMs}) => responseMs);
    const waitsMs = timed.map(({waitMs}) => waitMs);
    return [{key: job.key, jobMs: outcome.responseMs, tasksMs, waitsMs}];
  });
}

function listTaskTimes(
  baseline: readonly BaselineJob[],
  keys: ReadonlySet<string>,
): number[] {
  return baseline
    .filter(({job}) => keys.has(job.key))
    .flatMap(({tasksMs}) => tasksMs.filter(each => each !== undefined));
}

function listJobTimes(
  baseline: readonly BaselineJob[],
  keys: ReadonlySet<string>,
): number[] {
  return baseline
    .filter(({job}) => keys.has(job.key))
    .map(({tasksMs}) => Math.max(...tasksMs.map(each => each ?? 0)));
}

function compareResponseTimes(
  foundMs: readonly number[],
  centralMs: readonly number[],
  fastestMs: readonly number[],
): ResponseTimes {
  const found = summarize(foundMs);
  const centralQueue = summarize(centralMs);
  return {
    found,
    centralQueue,
    fastestServer: summarize(fastestMs),
    toCentralQueue: computeRatios(found, centralQueue),
  };
}

function countOutcomes(rounds: readonly RoundResult[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {jobs, outcomes} of rounds) {
    for (const [index, {kind}] of outcomes.entries()) {
      const isCancelled = jobs[index]?.cancelAtMs !== undefined;
      const name = isCancelled ? 'cancelled' : kind;
      counts[name] = (counts[name] ?? 0) + 1;
    }
  }
  return counts;
}

function countDuplicateStarts(rounds: readonly RoundResult[]): number {
  return rounds
    .flatMap(({starts}) => [...starts.values()])
    .reduce((sum, starts) => {
      return sum + starts.length - new Set(starts.map(each => each.index)).size;
    }, 0);
}

function computeInstanceUsage(rounds: readonly RoundResult[]): InstanceUsage[] {
  const seconds = rounds.reduce((sum, {tookMs}) => sum + tookMs / 1_000, 0);
  const [first] = rounds;
  return (first?.metrics ?? []).map((_, index) => {
    const metrics: MetricValues = sumMetrics(
      rounds.map(round => round.metrics[index] ?? new Map<string, number>()),
    );
    return {
      processorShare: sumByName(metrics, 'process_cpu_seconds_total') / seconds,
      residentMb: computeResidentMb(rounds.at(-1), index),
      peerBytesPerSecond:
        sumByName(metrics, 'goldcrestpier_peer_bytes_total') / seconds,
    };
  });
}

function computeResidentMb(
  round: RoundResult | undefined,
  index: number,
): number {
  const bytes = round?.residentBytes[index] ?? 0;
  return bytes / MEBIBYTE;
}

function sumCounts(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, each) => sum + each, 0);
}
