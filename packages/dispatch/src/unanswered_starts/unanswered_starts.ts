/**
 * The tasks with a start command that got no answer. Its worker may execute the
 * command later, even after a restart, when it knows neither fencing tokens nor
 * stops nor runs of before. So neither an answer to another command nor the end
 * of a run shows that it is over, only time. Until then the task must not be
 * started again. An instance keeps this beyond the end of a job and of a holder,
 * and exchanges it with its peers.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {parseTaskName} from '../work/index.js';
import type {UnansweredStart} from './unanswered_start.js';

/** Time for which a command is told to peers, in ms. */
const GOSSIP_MS = 3_000;
/** Shortest time between two changes of the revision, in ms. */
const MIN_REVISION_MS = 100;
/** Maximum number of tasks in one report to a peer. */
const MAX_REPORTED = 256;
/** Interval at which what is over is removed, in ms. */
const CLEANUP_MS = 1_000;
/** Maximum number of tasks that are kept; the oldest job's are dropped. */
const MAX_TASKS = 50_000;

interface KnownStart {
  /** When a run that the command starts late has certainly ended. */
  readonly endsAt: Millis;
  /** When this instance sent it, or first heard of it from a peer. */
  readonly learnedAt: Millis;
}

/** Tasks that must not be started again for now, by job and by name. */
export class UnansweredStarts {
  /** By job ID, then by task name. */
  private readonly byJob = new Map<string, Map<string, KnownStart>>();
  private taskCount = 0;
  private cleanedAt: Millis = -Infinity;
  private revisedAt: Millis = -Infinity;
  private revisionNumber = 0;

  /** Changes when this instance has sent a command, some times a second. */
  get revision(): number {
    return this.revisionNumber;
  }

  /** IDs of the jobs that have such tasks. */
  get jobIds(): Iterable<string> {
    return this.byJob.keys();
  }

  /** Names of the job's tasks that have, or had, such a command. */
  listTasks(jobId: string): Iterable<string> {
    return this.byJob.get(jobId)?.keys() ?? [];
  }

  /** Whether any task of the job has such a command. */
  hasJob(jobId: string): boolean {
    return this.byJob.has(jobId);
  }

  /**
   * Adds an own command; a run that it starts late has ended at `endsAt`.
   * Returns the number of tasks that were dropped for it.
   */
  record(task: string, endsAt: Millis, now: Millis): number {
    this.removeExpired(now);
    if (now - this.revisedAt >= MIN_REVISION_MS) {
      this.revisedAt = now;
      this.revisionNumber += 1;
    }
    return this.add(task, {endsAt, learnedAt: now});
  }

  /** Adds the commands that a peer reported; returns how many were dropped. */
  merge(reports: readonly UnansweredStart[], now: Millis): number {
    this.removeExpired(now);
    let dropped = 0;
    for (const {task, remainingMs} of reports) {
      const known = this.byJob.get(findJobId(task))?.get(task);
      // Peers tell each other, so that what is known is not new.
      const learnedAt = known?.learnedAt ?? now;
      dropped += this.add(task, {endsAt: now + remainingMs, learnedAt});
    }
    return dropped;
  }

  /** When the task may be started again; undefined if it may be now. */
  findEnd(task: string, now: Millis): Millis | undefined {
    const known = this.byJob.get(findJobId(task))?.get(task);
    return known !== undefined && now < known.endsAt ? known.endsAt : undefined;
  }

  /** When all tasks of the job may be started again; `now` if they may now. */
  findJobEnd(jobId: string, now: Millis): Millis {
    let latest = now;
    for (const {endsAt} of this.byJob.get(jobId)?.values() ?? [])
      latest = Math.max(latest, endsAt);
    return latest;
  }

  /** Reports those of one job; undefined if there are none. */
  reportJob(jobId: string, now: Millis): UnansweredStart[] | undefined {
    return describe(this.byJob.get(jobId) ?? [], now);
  }

  /** Reports those that have become known recently. */
  reportRecent(now: Millis): UnansweredStart[] | undefined {
    const recent = [...this.list()].filter(
      ([, {learnedAt}]) => now - learnedAt < GOSSIP_MS,
    );
    return describe(recent.slice(-MAX_REPORTED), now);
  }

  /** Reports all. */
  reportAll(now: Millis): UnansweredStart[] | undefined {
    return describe(this.list(), now);
  }

  /** Forgets the tasks that may be started again. */
  removeExpired(now: Millis): void {
    if (now - this.cleanedAt < CLEANUP_MS) return;
    this.cleanedAt = now;
    for (const [jobId, tasks] of this.byJob) {
      for (const [task, {endsAt}] of tasks)
        if (now >= endsAt) this.remove(tasks, task);
      if (tasks.size === 0) this.byJob.delete(jobId);
    }
  }

  private add(task: string, start: KnownStart): number {
    const jobId = findJobId(task);
    const tasks = this.byJob.get(jobId) ?? new Map<string, KnownStart>();
    const known = tasks.get(task);
    if (known !== undefined && known.endsAt >= start.endsAt) return 0;
    if (known === undefined) this.taskCount += 1;
    tasks.set(task, start);
    this.byJob.set(jobId, tasks);
    return this.taskCount > MAX_TASKS ? this.dropOldestJob() : 0;
  }

  private *list(): Iterable<[string, KnownStart]> {
    for (const tasks of this.byJob.values()) yield* tasks;
  }

  private remove(tasks: Map<string, KnownStart>, task: string): void {
    if (tasks.delete(task)) this.taskCount -= 1;
  }

  private dropOldestJob(): number {
    const [oldest] = this.byJob;
    if (oldest === undefined) return 0;
    const [jobId, tasks] = oldest;
    this.byJob.delete(jobId);
    this.taskCount -= tasks.size;
    return tasks.size;
  }
}

/** Undefined if there are none, so that messages leave them out. */
function describe(
  starts: Iterable<[string, KnownStart]>,
  now: Millis,
): UnansweredStart[] | undefined {
  const reports: UnansweredStart[] = [];
  for (const [task, {endsAt}] of starts) {
    if (now < endsAt) reports.push({task, remainingMs: endsAt - now});
  }
  return reports.length === 0 ? undefined : reports;
}

function findJobId(task: string): string {
  return parseTaskName(task)?.jobId ?? task;
}
