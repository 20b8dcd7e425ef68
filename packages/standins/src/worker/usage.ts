/** What tasks really use, known only after a lag. */

/** Processors, memory and accelerators. */
export interface Resources {
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** The mean use of one kind of task. */
export interface KindUsage extends Resources {
  /** Tasks that the mean is taken over. */
  readonly tasks: number;
}

/** What a worker reports of its use. */
export interface UsageReport extends Resources {
  readonly kinds: Readonly<Record<string, KindUsage>>;
}

interface Sample {
  readonly kind: string;
  readonly resources: Resources;
  readonly knownAt: number;
  isRunning: boolean;
}

/** Nothing at all. */
export const NO_RESOURCES: Resources = {
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** The sum of two. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** What is left of `a` without `b`. */
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

/** Collects the use of each task and reports what is known by now. */
export class UsageLog {
  private waiting: Sample[] = [];
  private running = new Set<Sample>();
  private readonly kinds = new Map<string, KindUsage>();

  /** Notes a task that starts; its use is known at `knownAt`. */
  add(kind: string, resources: Resources, knownAt: number): () => void {
    const sample = {kind, resources, knownAt, isRunning: true};
    this.waiting.push(sample);
    return () => {
      sample.isRunning = false;
      this.running.delete(sample);
    };
  }

  /** What is known at `now`: the use of all that runs, and means by kind. */
  report(now: number): UsageReport {
    const known = this.waiting.filter(({knownAt}) => knownAt <= now);
    this.waiting = this.waiting.filter(({knownAt}) => knownAt > now);
    for (const sample of known) this.learn(sample);
    const inUse = [...this.running]
      .map(({resources}) => resources)
      .reduce(addResources, NO_RESOURCES);
    return {...inUse, kinds: Object.fromEntries(this.kinds)};
  }

  private learn(sample: Sample): void {
    if (sample.isRunning) this.running.add(sample);
    const before = this.kinds.get(sample.kind) ?? {...NO_RESOURCES, tasks: 0};
    const tasks = before.tasks + 1;
    const mean = (a: number, b: number) => a + (b - a) / tasks;
    this.kinds.set(sample.kind, {
      tasks,
      processors: mean(before.processors, sample.resources.processors),
      memoryMb: mean(before.memoryMb, sample.resources.memoryMb),
      accelerators: mean(before.accelerators, sample.resources.accelerators),
    });
  }
}
