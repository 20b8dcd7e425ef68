/** What other zones run for this one since an earlier holder lent it. */

/** A task that another zone runs for this one. */
export interface LentEntry {
  /** The task's name as text. */
  readonly key: string;
  readonly run: number;
}

/** What a zone says that it runs for this one. */
export interface LentReport {
  /** Whether it can run nothing else for this zone. */
  readonly isComplete: boolean;
  readonly tasks: readonly LentEntry[];
}

/** A lent task and the zone that runs it. */
export interface LentRun {
  readonly zone: string;
  readonly run: number;
}

/** Gathers the answers of other zones to a new holder. */
export class LentSurvey {
  private readonly unheardZones = new Set<string>();
  private readonly runs = new Map<string, LentRun>();
  /** Runs that were told of before; zones are asked more than once. */
  private readonly told = new Set<string>();

  /** Whether every zone that was asked has told all. */
  get isComplete(): boolean {
    return this.unheardZones.size === 0;
  }

  /** Notes that these zones are being asked. */
  expect(zones: readonly string[]): void {
    for (const zone of zones) this.unheardZones.add(zone);
  }

  /** Takes a zone's answer. */
  note(zone: string, {isComplete, tasks}: LentReport): void {
    if (isComplete) this.unheardZones.delete(zone);
    for (const {key, run} of tasks) {
      const name = `${zone} ${key} ${run}`;
      if (this.told.has(name)) continue;
      this.told.add(name);
      this.runs.set(key, {zone, run});
    }
  }

  /** Hands out where a task runs, once. */
  take(key: string): LentRun | undefined {
    const found = this.runs.get(key);
    this.runs.delete(key);
    return found;
  }
}
