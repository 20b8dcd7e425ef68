/** Actual resource usage of tasks, reported after a delay. */

/** Amounts of each resource. */
export interface Resources {
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Mean usage of one kind of task. */
export interface KindUsage extends Resources {
  /** Number of tasks in the mean. */
  readonly tasks: number;
}

/** Usage of the running tasks in total, and mean usage by kind of task. */
export interface UsageReport extends Resources {
  readonly kinds: Readonly<Record<string, KindUsage>>;
}

interface UsageSample {
  readonly kind: string;
  readonly usage: Resources;
  readonly reportedAt: number;
  isRunning: boolean;
}

/** Zero of each resource. */
export const NO_RESOURCES: Resources = {
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Returns the sum of `a` and `b`. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Returns `a` minus `b`. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Whether `needs` fits into `free`. */
export function fits(needs: Resources, free: Resources): boolean {
  return (
    needs.processors <= free.processors &&
    needs.memoryMb <= free.memoryMb &&
    needs.accelerators <= free.accelerators
  );
}

/** Records the usage of each task and reports it after its delay. */
export class UsageRecorder {
  private unreported: UsageSample[] = [];
  private runningSamples = new Set<UsageSample>();
  private readonly kinds = new Map<string, KindUsage>();

  /**
   * Adds a starting task, whose usage is reported from `reportedAt` on. Call
   * the returned function when the task ends.
   */
  addTask(kind: string, usage: Resources, reportedAt: number): () => void {
    const sample = {kind, usage, reportedAt, isRunning: true};
    this.unreported.push(sample);
    return () => {
      sample.isRunning = false;
      this.runningSamples.delete(sample);
    };
  }

  /** The usage that may be reported at `now`. */
  report(now: number): UsageReport {
    const due = this.unreported.filter(({reportedAt}) => reportedAt <= now);
    this.unreported = this.unreported.filter(
      ({reportedAt}) => reportedAt > now,
    );
    for (const sample of due) this.includeSample(sample);
    const inUse = [...this.runningSamples]
      .map(({usage}) => usage)
      .reduce(addResources, NO_RESOURCES);
    return {...inUse, kinds: Object.fromEntries(this.kinds)};
  }

  private includeSample(sample: UsageSample): void {
    if (sample.isRunning) this.runningSamples.add(sample);
    const previous = this.kinds.get(sample.kind) ?? {...NO_RESOURCES, tasks: 0};
    const tasks = previous.tasks + 1;
    const mean = (a: number, b: number) => a + (b - a) / tasks;
    this.kinds.set(sample.kind, {
      tasks,
      processors: mean(previous.processors, sample.usage.processors),
      memoryMb: mean(previous.memoryMb, sample.usage.memoryMb),
      accelerators: mean(previous.accelerators, sample.usage.accelerators),
    });
  }
}
