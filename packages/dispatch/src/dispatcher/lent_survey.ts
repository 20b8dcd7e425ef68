/** What other zones run for this one since an earlier holder lent it. */
import type {Millis} from '@goldcrestpier/runtime';
import {LENT_OVER_MS} from './options.js';

/** How long after it was taken back a task is taken back again, in ms. */
const RECALL_AGAIN_MS = 200;

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
export interface LentRun extends LentEntry {
  readonly zone: string;
  readonly toldAt: Millis;
  /** When it was last taken back, as no job claims it. */
  recalledAt: Millis;
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
  note(zone: string, {isComplete, tasks}: LentReport, now: Millis): void {
    if (isComplete) this.unheardZones.delete(zone);
    for (const {key, run} of tasks) {
      const name = `${zone} ${key} ${run}`;
      if (this.told.has(name)) continue;
      this.told.add(name);
      const times = {toldAt: now, recalledAt: -Infinity};
      this.runs.set(key, {key, zone, run, ...times});
    }
  }

  /**
   * What nobody has claimed and is to be taken back now. It stays known until it
   * has surely ended, as its job may still be handed in.
   */
  takeRecalls(now: Millis): LentRun[] {
    for (const [key, {toldAt}] of this.runs) {
      if (now - toldAt >= LENT_OVER_MS) this.runs.delete(key);
    }
    const due = [...this.runs.values()].filter(
      ({recalledAt}) => now - recalledAt >= RECALL_AGAIN_MS,
    );
    for (const run of due) run.recalledAt = now;
    return due;
  }

  /** Hands out where a task runs, once. */
  take(key: string): LentRun | undefined {
    const found = this.runs.get(key);
    this.runs.delete(key);
    return found;
  }
}
