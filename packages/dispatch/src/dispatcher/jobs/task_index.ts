/**
 * The tasks of one job by step and state. A job may have thousands of tasks, so
 * that nothing that happens to one of them may scan the others.
 */
import type {Step} from '../../work/index.js';
import type {TaskRecord, TaskState} from './task_record.js';

/** The tasks of one step that are not done, by state. */
export interface StepTasks {
  readonly step: Step;
  readonly waiting: ReadonlySet<TaskRecord>;
  readonly running: ReadonlySet<TaskRecord>;
}

/** A step, and which steps wait for it. */
class StepEntry implements StepTasks {
  private waitingTasks = new Set<TaskRecord>();
  /** Whether a task that waits again stands behind later ones. */
  private isOutOfOrder = false;
  readonly running = new Set<TaskRecord>();
  /** The steps that wait until this one is done. */
  readonly dependents: StepEntry[] = [];
  /** Number of steps that have to be done before this one starts. */
  blockers = 0;

  constructor(readonly step: Step) {}

  get isDone(): boolean {
    return this.waitingTasks.size === 0 && this.running.size === 0;
  }

  /** The waiting tasks in the order of their indexes. */
  get waiting(): ReadonlySet<TaskRecord> {
    if (this.isOutOfOrder) {
      const sorted = [...this.waitingTasks].sort(compareIndexes);
      this.waitingTasks = new Set(sorted);
      this.isOutOfOrder = false;
    }
    return this.waitingTasks;
  }

  addWaiting(task: TaskRecord, waitsAgain: boolean): void {
    this.waitingTasks.add(task);
    if (waitsAgain) this.isOutOfOrder = true;
  }

  removeWaiting(task: TaskRecord): boolean {
    return this.waitingTasks.delete(task);
  }
}

function compareIndexes(a: TaskRecord, b: TaskRecord): number {
  return a.name.index - b.name.index;
}

/** Finds the tasks of a job by name, step and state. */
export class TaskIndex {
  private readonly byKey = new Map<string, TaskRecord>();
  /** By the index of the step in the job that was submitted. */
  private readonly bySteps = new Map<number, StepEntry>();
  private readonly runningTasks = new Set<TaskRecord>();
  private waitingTasks = 0;

  constructor(tasks: readonly TaskRecord[]) {
    for (const task of tasks) this.add(task);
    for (const entry of this.bySteps.values()) this.addDependencies(entry);
  }

  /** Number of tasks that neither run nor are done. */
  get waitingCount(): number {
    return this.waitingTasks;
  }

  /** Number of tasks with a run that may go on. */
  get runningCount(): number {
    return this.runningTasks.size;
  }

  /** Number of all tasks. */
  get size(): number {
    return this.byKey.size;
  }

  /** The steps with their tasks that are not done. */
  get steps(): Iterable<StepTasks> {
    return this.bySteps.values();
  }

  /** Finds a task by its name as text. */
  find(key: string): TaskRecord | undefined {
    return this.byKey.get(key);
  }

  /** Finds the tasks of a step that are not done. */
  findStep(index: number): StepTasks | undefined {
    return this.bySteps.get(index);
  }

  /** Iterates over waiting tasks whose earlier steps are done. */
  *readyTasks(): Iterable<TaskRecord> {
    for (const entry of this.bySteps.values()) {
      if (entry.blockers === 0) yield* entry.waiting;
    }
  }

  /** The tasks with a run that may go on. */
  get running(): Iterable<TaskRecord> {
    return this.runningTasks;
  }

  /** Changes the state of a task; a done one stays done. */
  setState(task: TaskRecord, state: TaskState): void {
    const entry = this.bySteps.get(task.name.step);
    if (entry === undefined || task.state.kind === 'done') return;
    this.remove(entry, task);
    task.state = state;
    this.insert(entry, task, true);
    if (!entry.isDone) return;
    for (const dependent of entry.dependents) dependent.blockers -= 1;
  }

  private add(task: TaskRecord): void {
    const {step: index} = task.name;
    const entry = this.bySteps.get(index) ?? new StepEntry(task.step);
    this.bySteps.set(index, entry);
    this.byKey.set(task.key, task);
    this.insert(entry, task, false);
  }

  /** A single task of another zone's job has no other steps here. */
  private addDependencies(entry: StepEntry): void {
    for (const index of new Set(entry.step.after)) {
      const earlier = this.bySteps.get(index);
      if (earlier === undefined) continue;
      earlier.dependents.push(entry);
      entry.blockers += 1;
    }
  }

  private insert(
    entry: StepEntry,
    task: TaskRecord,
    waitsAgain: boolean,
  ): void {
    switch (task.state.kind) {
      case 'waiting':
        entry.addWaiting(task, waitsAgain);
        this.waitingTasks += 1;
        return;
      case 'running':
        entry.running.add(task);
        this.runningTasks.add(task);
        return;
      case 'done':
        return;
    }
  }

  private remove(entry: StepEntry, task: TaskRecord): void {
    if (entry.removeWaiting(task)) this.waitingTasks -= 1;
    entry.running.delete(task);
    this.runningTasks.delete(task);
  }
}
