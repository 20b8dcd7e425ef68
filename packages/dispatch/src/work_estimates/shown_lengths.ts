/** What the runs of a job show of the lengths of its tasks, by step. */
import type {Millis} from '@goldcrestpier/runtime';

interface StepLengths {
  readonly byTask: Map<string, Millis>;
  longest: Millis;
}

/** Shown lengths of the tasks of one job, on a worker of typical speed. */
export class ShownLengths {
  private readonly steps = new Map<number, StepLengths>();

  /** The longest shown length of a step's tasks; undefined if none is shown. */
  findLongest(step: number): Millis | undefined {
    return this.steps.get(step)?.longest;
  }

  /** Sets what a task shows; returns whether the step's longest changed. */
  set(step: number, task: string, lengthMs: Millis): boolean {
    const lengths = this.steps.get(step) ?? {byTask: new Map(), longest: 0};
    this.steps.set(step, lengths);
    const before = lengths.longest;
    const wasLongest = lengths.byTask.get(task) === before;
    lengths.byTask.set(task, lengthMs);
    if (lengthMs >= before) lengths.longest = lengthMs;
    else if (wasLongest) lengths.longest = findMaximum(lengths.byTask.values());
    return lengths.longest !== before;
  }
}

function findMaximum(values: Iterable<Millis>): Millis {
  let maximum = 0;
  for (const value of values) maximum = Math.max(maximum, value);
  return maximum;
}
