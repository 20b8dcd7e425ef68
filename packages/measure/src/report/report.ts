/** What one policy did over its rounds, against both ideals. */
import {loadavg} from 'node:os';
import type {Fleet} from '../cluster/index.js';
import {runCentralQueue, runOnFastest, type IdealJob} from '../ideal/index.js';
import {
  addFigures,
  groupByLabel,
  sumOf,
  type Figures,
} from '../metrics/index.js';
import {isGood, type Round} from '../round/index.js';
import {compare, summarize, type Summary} from './summary.js';

const MEBIBYTE = 1_048_576;

/** Response times found, of both ideals, and how the first compares. */
export interface Responses {
  readonly found: Summary;
  readonly centralQueue: Summary;
  readonly fastestServer: Summary;
  readonly toCentralQueue: Omit<Summary, 'count'>;
}

/** What one entry instance used in all rounds. */
export interface InstanceUse {
  readonly processorShare: number;
  readonly residentMb: number;
  readonly peerBytesPerSecond: number;
}

/** What one policy did. */
export interface Report {
  readonly policy: string;
  readonly jobs: Readonly<Record<string, number>>;
  readonly tasks: number;
  /** Tasks that were started more than once at the servers. */
  readonly doubledStarts: number;
  readonly taskResponse: Responses;
  /** Mean time of a task before its start, found and in the central queue. */
  readonly meanWaitMs: {readonly found: number; readonly centralQueue: number};
  readonly jobResponse: Responses;
  readonly messages: Readonly<Record<string, number>>;
  readonly messagesPerAnswer: number;
  readonly wasted: Readonly<Record<string, number>>;
  readonly wastedShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly retries: Readonly<Record<string, number>>;
  readonly instances: readonly InstanceUse[];
  /** Processor time of all instances for one task, in milliseconds. */
  readonly processorMsPerTask: number;
  /** Bytes that all instances exchange with peers for one task. */
  readonly peerBytesPerTask: number;
  /** Load of the machine in the last minute. */
  readonly machineLoad: number;
}

/** Sums up the rounds of one policy. */
export function createReport(
  policy: string,
  rounds: readonly Round[],
  {slotSpeeds}: Fleet,
): Report {
  const figures = addFigures(rounds.flatMap(round => round.figures));
  const counted = rounds.flatMap(pickCounted);
  const central = rounds.flatMap(({jobs}) => runCentralQueue(jobs, slotSpeeds));
  const fastest = rounds.flatMap(({jobs}) => runOnFastest(jobs, slotSpeeds));
  const keep = new Set(counted.map(({key}) => key));
  const messages = groupByLabel(
    figures,
    'goldcrestpier_messages_total',
    'kind',
  );
  const wasted = groupByLabel(
    figures,
    'goldcrestpier_wasted_messages_total',
    'kind',
  );
  const answers = sumOf(figures, 'goldcrestpier_tasks_total');
  return {
    policy,
    jobs: countEnds(rounds),
    tasks: answers,
    doubledStarts: countDoubled(rounds),
    taskResponse: compareAll(
      counted.flatMap(({tasksMs}) => tasksMs),
      pickTasks(central, keep),
      pickTasks(fastest, keep),
    ),
    meanWaitMs: {
      found: summarize(counted.flatMap(({waitsMs}) => waitsMs)).mean,
      centralQueue: summarize(
        central
          .filter(({job}) => keep.has(job.key))
          .flatMap(({waitsMs}) => waitsMs),
      ).mean,
    },
    jobResponse: compareAll(
      counted.map(({jobMs}) => jobMs),
      pickJobs(central, keep),
      pickJobs(fastest, keep),
    ),
    messages,
    messagesPerAnswer: sumAll(messages) / answers,
    wasted,
    wastedShare: sumAll(wasted) / sumAll(messages),
    refusals: groupByLabel(figures, 'goldcrestpier_refusals_total', 'reason'),
    retries: groupByLabel(figures, 'goldcrestpier_retries_total', 'reason'),
    instances: describeInstances(rounds),
    processorMsPerTask:
      (sumOf(figures, 'process_cpu_seconds_total') * 1_000) / answers,
    peerBytesPerTask:
      sumOf(figures, 'goldcrestpier_peer_bytes_total') / answers,
    machineLoad: loadavg()[0] ?? 0,
  };
}

interface CountedJob {
  readonly key: string;
  readonly jobMs: number;
  readonly tasksMs: readonly number[];
  readonly waitsMs: readonly number[];
}

/** The jobs that were answered whole and were not cancelled. */
function pickCounted({jobs, ends, starts}: Round): CountedJob[] {
  return jobs.flatMap((job, place) => {
    const end = ends[place];
    if (end === undefined || !isGood(end)) return [];
    if (job.cancelAtMs !== undefined) return [];
    const timed = starts.get(job.key) ?? [];
    const tasksMs = timed.map(({responseMs}) => responseMs);
    const waitsMs = timed.map(({waitMs}) => waitMs);
    return [{key: job.key, jobMs: end.responseMs, tasksMs, waitsMs}];
  });
}

function pickTasks(
  ideal: readonly IdealJob[],
  keep: ReadonlySet<string>,
): number[] {
  return ideal
    .filter(({job}) => keep.has(job.key))
    .flatMap(({tasksMs}) => tasksMs.filter(each => each !== undefined));
}

function pickJobs(
  ideal: readonly IdealJob[],
  keep: ReadonlySet<string>,
): number[] {
  return ideal
    .filter(({job}) => keep.has(job.key))
    .map(({tasksMs}) => Math.max(...tasksMs.map(each => each ?? 0)));
}

function compareAll(
  foundMs: readonly number[],
  centralMs: readonly number[],
  fastestMs: readonly number[],
): Responses {
  const found = summarize(foundMs);
  const centralQueue = summarize(centralMs);
  return {
    found,
    centralQueue,
    fastestServer: summarize(fastestMs),
    toCentralQueue: compare(found, centralQueue),
  };
}

function countEnds(rounds: readonly Round[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {jobs, ends} of rounds) {
    for (const [place, {kind}] of ends.entries()) {
      const isCancelled = jobs[place]?.cancelAtMs !== undefined;
      const name = isCancelled ? 'cancelled' : kind;
      counts[name] = (counts[name] ?? 0) + 1;
    }
  }
  return counts;
}

function countDoubled(rounds: readonly Round[]): number {
  return rounds
    .flatMap(({starts}) => [...starts.values()])
    .reduce((sum, starts) => {
      return sum + starts.length - new Set(starts.map(each => each.index)).size;
    }, 0);
}

function describeInstances(rounds: readonly Round[]): InstanceUse[] {
  const seconds = rounds.reduce((sum, {tookMs}) => sum + tookMs / 1_000, 0);
  const [first] = rounds;
  return (first?.figures ?? []).map((_, place) => {
    const figures: Figures = addFigures(
      rounds.map(round => round.figures[place] ?? new Map<string, number>()),
    );
    return {
      processorShare: sumOf(figures, 'process_cpu_seconds_total') / seconds,
      residentMb: readMemory(rounds.at(-1), place),
      peerBytesPerSecond:
        sumOf(figures, 'goldcrestpier_peer_bytes_total') / seconds,
    };
  });
}

function readMemory(round: Round | undefined, place: number): number {
  const bytes = round?.residentBytes[place] ?? 0;
  return bytes / MEBIBYTE;
}

function sumAll(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, each) => sum + each, 0);
}
