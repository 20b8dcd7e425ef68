/** What one owner keeps of one pool: its queue, its measures and budgets. */
import {
  DrainRate,
  FairQueue,
  StartBudget,
  type TeamBacklog,
  type TeamWeights,
} from '@goldcrestpier/limits';
import type {Millis} from '@goldcrestpier/runtime';
import {RecordState, type TaskRecord} from './task_record.js';

/** Every start is charged alike: run times are not known beforehand. */
const START_COST = 1;
const DEFAULT_RUN_MS = 300;
/** Runs that count for the mean run time. */
const RUNS_WINDOW = 500;

/** The queue of one pool. */
export class PoolQueue {
  readonly queue = new FairQueue<TaskRecord>();
  readonly drain = new DrainRate();
  readonly retries = new StartBudget();
  readonly hedges = new StartBudget();
  /** Tasks of each team that wait or run. */
  private readonly teamTasks = new Map<string, number>();
  private open = 0;
  private runs = 0;
  private runMs = DEFAULT_RUN_MS;

  constructor(readonly pool: string) {}

  /** Tasks that wait. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Tasks that have not ended. */
  get tasks(): number {
    return this.open;
  }

  /** Tasks of a team that have not ended. */
  tasksOf(team: string): number {
    return this.teamTasks.get(team) ?? 0;
  }

  /** Tasks of each team that wait. */
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

  /** Learns from one run. */
  recordRun(runMs: Millis): void {
    this.runs = Math.min(this.runs + 1, RUNS_WINDOW);
    this.runMs += (runMs - this.runMs) / this.runs;
  }

  /** Takes a new task in. */
  add(record: TaskRecord, now: Millis): void {
    const {team} = record.task;
    this.teamTasks.set(team, this.tasksOf(team) + 1);
    this.open += 1;
    record.place = this.queue.push(team, record);
    this.drain.record(0, true, now);
  }

  /** Puts a task back at the front of its team's line. */
  putBack(record: TaskRecord, now: Millis): void {
    if (record.place === undefined || record.place.inLine) return;
    this.queue.putBack(record.place);
    this.drain.record(0, true, now);
  }

  /** Takes the task whose turn it is, of `team` when that one waits. */
  take(
    weights: TeamWeights,
    team: string,
    now: Millis,
  ): TaskRecord | undefined {
    const place = this.queue.take(weights, START_COST, team);
    if (place !== undefined) this.drain.record(1, this.queue.size > 0, now);
    return place?.item;
  }

  /** Takes a certain task. */
  takeRecord(record: TaskRecord, weights: TeamWeights, now: Millis): boolean {
    if (record.place === undefined) return false;
    if (!this.queue.takePlace(record.place, weights, START_COST)) return false;
    this.drain.record(1, this.queue.size > 0, now);
    return true;
  }

  /** Drops a task that ended. */
  end(record: TaskRecord, now: Millis): void {
    if (record.state === RecordState.Ended) return;
    record.state = RecordState.Ended;
    if (record.place !== undefined && this.queue.remove(record.place)) {
      this.drain.record(0, this.queue.size > 0, now);
    }
    const {team} = record.task;
    const left = this.tasksOf(team) - 1;
    if (left > 0) this.teamTasks.set(team, left);
    else this.teamTasks.delete(team);
    this.open -= 1;
  }

  /** How long the longest-waiting task has waited. */
  oldestMs(now: Millis): Millis {
    let oldest = 0;
    for (const team of this.queue.waitingTeams) {
      oldest = Math.max(oldest, this.oldestOf(team, now));
    }
    return oldest;
  }

  /** How long a team's first task has waited. */
  oldestOf(team: string, now: Millis): Millis {
    const first = this.queue.peekOf(team);
    return first === undefined ? 0 : Math.max(now - first.enqueuedAt, 0);
  }
}
