/**
 * The crashes of workers under each task. An instance keeps them beyond the end
 * of a job and of a holder, and exchanges them with its peers, so that a task
 * is judged alike by the next holder, by other zones and after its job was
 * submitted again.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {parseTaskName} from '../work/index.js';
import {CrashVerdict, type Crash, type CrashReport} from './crash.js';

/** Time for which a crash is remembered, in ms. */
const RETENTION_MS = 60_000;
/** Time for which a crash that has become known is told to peers, in ms. */
const GOSSIP_MS = 5_000;
/** Maximum number of crashes in one report to a peer. */
const MAX_REPORTED = 64;
/** Maximum number of tasks with crashes; the oldest are forgotten first. */
const MAX_TASKS = 10_000;
/** Crashes after which a task is given up if it once had its worker alone. */
const MAX_CRASHES = 2;
/** Crashes after which it is given up, though it never had a worker alone. */
const MAX_SHARED_CRASHES = 3;

interface KnownCrash extends Crash {
  /** When it happened, as far as it is known. */
  readonly at: Millis;
  /** When this instance got to know it. */
  readonly learnedAt: Millis;
  /** Whether the worker turned out to be alive; peers may still report it. */
  isRetracted: boolean;
}

/** Crashes by task; each is counted once, however often it is told. */
export class CrashHistory {
  /** By task name, then by the worker's incarnation. */
  private readonly byTask = new Map<string, Map<string, KnownCrash>>();
  private readonly taskCounts = new Map<string, number>();
  private recordedCount = 0;

  /** Changes whenever this instance finds a crash, not if a peer reports it. */
  get revision(): number {
    return this.recordedCount;
  }

  /** IDs of the jobs that have tasks with crashes. */
  get jobIds(): Iterable<string> {
    return this.taskCounts.keys();
  }

  /** Whether any task of the job has a crash. */
  hasJob(jobId: string): boolean {
    return this.taskCounts.has(jobId);
  }

  /** Adds a crash; false if it is known. */
  record(crash: Crash, now: Millis): boolean {
    const isNew = this.add(crash, now, now);
    if (isNew) this.recordedCount += 1;
    return isNew;
  }

  /** Adds crashes that a peer reported. */
  merge(reports: readonly CrashReport[], now: Millis): void {
    for (const {ageMs, ...crash} of reports) this.add(crash, now - ageMs, now);
  }

  /** Takes back a crash that did not happen: the incarnation has answered. */
  retract({task, workerId, workerBornAt}: Crash): void {
    const incarnation = formatIncarnation(workerId, workerBornAt);
    const crash = this.byTask.get(task)?.get(incarnation);
    if (crash !== undefined) crash.isRetracted = true;
  }

  /**
   * Takes back the crashes of a worker's incarnation that became known before
   * `sentAt`, when a poll was sent that it has answered. Other instances may
   * have told them, to which it refused connections.
   */
  retractAnswered(workerId: string, bornAt: number, sentAt: Millis): void {
    // Without a time of its start, another incarnation may have answered.
    if (bornAt === 0) return;
    const incarnation = formatIncarnation(workerId, bornAt);
    for (const crashes of this.byTask.values()) {
      const crash = crashes.get(incarnation);
      if (crash !== undefined && crash.at < sentAt) crash.isRetracted = true;
    }
  }

  /** Judges a task by the crashes of its workers. */
  judge(task: string): CrashVerdict {
    const crashes = this.listCrashes(task);
    if (crashes.length === 0) return CrashVerdict.Harmless;
    const wasAlone = crashes.some(({isShared}) => !isShared);
    const limit = wasAlone ? MAX_CRASHES : MAX_SHARED_CRASHES;
    return crashes.length < limit
      ? CrashVerdict.Suspected
      : CrashVerdict.Crashing;
  }

  /** Lists the workers that crashed under a task. */
  listWorkers(task: string): string[] {
    return this.listCrashes(task).map(({workerId}) => workerId);
  }

  /** Reports the crashes of a job's tasks; undefined if there are none. */
  reportJob(jobId: string, now: Millis): CrashReport[] | undefined {
    if (!this.hasJob(jobId)) return undefined;
    return this.report(now, ({task}) => findJobId(task) === jobId);
  }

  /** Reports the crashes that have become known recently, newest first. */
  reportRecent(now: Millis): CrashReport[] | undefined {
    return this.report(now, ({learnedAt}) => now - learnedAt < GOSSIP_MS);
  }

  /** Reports all crashes that are remembered, newest first. */
  reportAll(now: Millis): CrashReport[] | undefined {
    return this.report(now, () => true);
  }

  /** Forgets the tasks whose last crash is old. */
  removeExpired(now: Millis): void {
    for (const [task, crashes] of this.byTask) {
      const latest = Math.max(...[...crashes.values()].map(({at}) => at));
      if (now - latest >= RETENTION_MS) this.forget(task);
    }
  }

  private add(crash: Crash, at: Millis, now: Millis): boolean {
    const {task, workerId, workerBornAt} = crash;
    if (now - at >= RETENTION_MS) return false;
    const crashes = this.byTask.get(task) ?? this.addTask(task);
    const incarnation = formatIncarnation(workerId, workerBornAt);
    if (crashes.has(incarnation)) return false;
    crashes.set(incarnation, {
      ...crash,
      at,
      learnedAt: now,
      isRetracted: false,
    });
    return true;
  }

  private listCrashes(task: string): KnownCrash[] {
    const crashes = this.byTask.get(task)?.values() ?? [];
    return [...crashes].filter(({isRetracted}) => !isRetracted);
  }

  private addTask(task: string): Map<string, KnownCrash> {
    const [oldest] = this.byTask.keys();
    if (this.byTask.size >= MAX_TASKS && oldest !== undefined)
      this.forget(oldest);
    const crashes = new Map<string, KnownCrash>();
    this.byTask.set(task, crashes);
    const jobId = findJobId(task);
    this.taskCounts.set(jobId, (this.taskCounts.get(jobId) ?? 0) + 1);
    return crashes;
  }

  private forget(task: string): void {
    if (!this.byTask.delete(task)) return;
    const jobId = findJobId(task);
    const left = (this.taskCounts.get(jobId) ?? 0) - 1;
    if (left > 0) this.taskCounts.set(jobId, left);
    else this.taskCounts.delete(jobId);
  }

  /** Newest first; undefined if there are none, so that messages leave it out. */
  private report(
    now: Millis,
    isWanted: (crash: KnownCrash) => boolean,
  ): CrashReport[] | undefined {
    const known = [...this.byTask.keys()]
      .flatMap(task => this.listCrashes(task))
      .filter(isWanted)
      .sort((a, b) => b.learnedAt - a.learnedAt);
    if (known.length === 0) return undefined;
    return known
      .slice(0, MAX_REPORTED)
      .map(({task, workerId, workerBornAt, isShared, at}) => ({
        task,
        workerId,
        workerBornAt,
        isShared,
        ageMs: now - at,
      }));
  }
}

function formatIncarnation(workerId: string, bornAt: number): string {
  return `${workerId} ${bornAt}`;
}

function findJobId(task: string): string {
  return parseTaskName(task)?.jobId ?? task;
}
