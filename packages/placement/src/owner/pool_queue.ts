/** An owner's state for one pool: queue, measurements and budgets. */
import {
  DrainRate,
  FairQueue,
  RetryBudget,
  type TeamBacklog,
  type TeamWeights,
} from '@goldcrestpier/limits';
import type {Millis} from '@goldcrestpier/runtime';
import {RecordState, type TaskRecord} from './task_record.js';

/** All starts cost the same, because run times are not known in advance. */
const START_COST = 1;
/** Assumed run time before the first run. */
const DEFAULT_RUN_MS = 300;
/** Number of recent runs that determine the mean run time. */
const RUNS_WINDOW = 500;

/** The queue of one pool at one owner. */
export class PoolQueue {
  readonly queue = new FairQueue<TaskRecord>();
  readonly drainRate = new DrainRate();
  readonly retryBudget = new RetryBudget();
  readonly hedgeBudget = new RetryBudget();
  /** Number of unfinished tasks by team. */
  private readonly teamTasks = new Map<string, number>();
  private unfinished = 0;
  private runs = 0;
  private runMs = DEFAULT_RUN_MS;

  constructor(readonly pool: string) {}

  /** Number of waiting tasks. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Number of unfinished tasks. */
  get tasks(): number {
    return this.unfinished;
  }

  /** Number of unfinished tasks of a team. */
  tasksOf(team: string): number {
    return this.teamTasks.get(team) ?? 0;
  }

  /** Number of waiting tasks by team. */
  backlog(): TeamBacklog[] {
    return [...this.queue.waitingTeams].map(team => ({
      team,
      waiting: this.queue.sizeOf(team),
    }));
  }

  /** Mean run time of the pool's tasks on a server of mean speed. */
  get meanRunMs(): Millis {
    return this.runMs;
  }

  /** Records the run time of one task. */
  recordRun(runMs: Millis): void {
    this.runs = Math.min(this.runs + 1, RUNS_WINDOW);
    this.runMs += (runMs - this.runMs) / this.runs;
  }

  /** Adds a new task to the queue. */
  add(record: TaskRecord, now: Millis): void {
    const {team} = record.task;
    this.teamTasks.set(team, this.tasksOf(team) + 1);
    this.unfinished += 1;
    record.place = this.queue.push(team, record);
    this.drainRate.record(0, true, now);
  }

  /** Returns a task to the front of its team's queue. */
  putBack(record: TaskRecord, now: Millis): void {
    if (record.place === undefined || record.place.isQueued) return;
    this.queue.requeue(record.place);
    this.drainRate.record(0, true, now);
  }

  /** Dequeues the next task, preferring `team` if it has waiting tasks. */
  take(
    weights: TeamWeights,
    team: string,
    now: Millis,
  ): TaskRecord | undefined {
    const place = this.queue.take(weights, START_COST, team);
    if (place !== undefined) this.drainRate.record(1, this.queue.size > 0, now);
    return place?.item;
  }

  /** Dequeues the given task; returns false if it is not in the queue. */
  takeRecord(record: TaskRecord, weights: TeamWeights, now: Millis): boolean {
    if (record.place === undefined) return false;
    if (!this.queue.takeEntry(record.place, weights, START_COST)) return false;
    this.drainRate.record(1, this.queue.size > 0, now);
    return true;
  }

  /** Marks a task as ended and removes it from the queue. */
  end(record: TaskRecord, now: Millis): void {
    if (record.state === RecordState.Ended) return;
    record.state = RecordState.Ended;
    if (record.place !== undefined && this.queue.remove(record.place)) {
      this.drainRate.record(0, this.queue.size > 0, now);
    }
    const {team} = record.task;
    const left = this.tasksOf(team) - 1;
    if (left > 0) this.teamTasks.set(team, left);
    else this.teamTasks.delete(team);
    this.unfinished -= 1;
  }

  /** Wait of the oldest waiting task; 0 if none waits. */
  oldestMs(now: Millis): Millis {
    let oldest = 0;
    for (const team of this.queue.waitingTeams) {
      oldest = Math.max(oldest, this.oldestOf(team, now));
    }
    return oldest;
  }

  /** Wait of the first task in a team's queue; 0 if none waits. */
  oldestOf(team: string, now: Millis): Millis {
    const first = this.queue.peekTeam(team);
    return first === undefined ? 0 : Math.max(now - first.enqueuedAt, 0);
  }
}
