/** Finds tasks that an earlier holder of this zone delegated to other zones. */
import type {Millis} from '@goldcrestpier/runtime';
import {DELEGATED_RUN_MAX_MS} from '../options.js';

/** Longest time that new jobs wait for the first reports, in ms. */
const FIRST_REPORT_WAIT_MS = 400;
/** Time after which a recall of a task is sent again, in ms. */
const RECALL_RETRY_MS = 200;

/** A run of a task that another zone runs for this one. */
export interface DelegatedRun {
  /** The task's name as text. */
  readonly key: string;
  readonly run: number;
}

/** One zone's report of the tasks that it runs for this one. */
export interface DelegationReport {
  /** Whether the zone certainly runs no other tasks for this one. */
  readonly isComplete: boolean;
  /** Whether the zone's holder knows what its workers run. */
  readonly hasPolledWorkers?: boolean | undefined;
  readonly tasks: readonly DelegatedRun[];
}

/** A delegated run with the zone that runs it. */
export interface OutboundRun extends DelegatedRun {
  readonly zone: string;
  readonly reportedAt: Millis;
  /** When it was last recalled because no job had claimed it. */
  recalledAt: Millis;
}

/** Collects the reports of other zones to a new holder. */
export class DelegationSurvey {
  private readonly pendingZones = new Set<string>();
  /** Zones of which no holder has said what runs there. */
  private readonly silentZones = new Set<string>();
  private expectedSince: Millis = -Infinity;
  /** Reported runs that no job has claimed yet, by task name. */
  private readonly unclaimedRuns = new Map<string, OutboundRun>();
  /** All reported runs; zones are asked more than once and repeat them. */
  private readonly reportedRuns = new Set<string>();

  /** Whether every zone that was asked has sent a complete report. */
  get isComplete(): boolean {
    return this.pendingZones.size === 0;
  }

  /** The zones that were asked and have not sent a complete report. */
  get zonesPending(): readonly string[] {
    return [...this.pendingZones];
  }

  /** Records that these zones are being asked. */
  expect(zones: readonly string[], now: Millis): void {
    this.expectedSince = now;
    for (const zone of zones) {
      this.pendingZones.add(zone);
      this.silentZones.add(zone);
    }
  }

  /**
   * Whether any zone may soon report for the first time what it runs for this
   * one. A zone that can't be reached is not waited for.
   */
  isAwaitingReports(now: Millis): boolean {
    if (this.silentZones.size === 0) return false;
    return now - this.expectedSince < FIRST_REPORT_WAIT_MS;
  }

  /** Adds a zone's report. */
  addReport(
    zone: string,
    {isComplete, hasPolledWorkers, tasks}: DelegationReport,
    now: Millis,
  ): void {
    if (isComplete || hasPolledWorkers === true) this.silentZones.delete(zone);
    if (isComplete) this.pendingZones.delete(zone);
    for (const {key, run} of tasks) {
      const name = `${zone} ${key} ${run}`;
      if (this.reportedRuns.has(name)) continue;
      this.reportedRuns.add(name);
      const times = {reportedAt: now, recalledAt: -Infinity};
      this.unclaimedRuns.set(key, {key, zone, run, ...times});
    }
  }

  /**
   * Returns the unclaimed runs that have to be recalled now. A recalled run
   * stays known until it has certainly ended, because its job may still be
   * submitted.
   */
  takeRecalls(
    isUnwanted: (key: string) => boolean,
    now: Millis,
  ): OutboundRun[] {
    for (const [key, {reportedAt}] of this.unclaimedRuns) {
      if (now - reportedAt >= DELEGATED_RUN_MAX_MS)
        this.unclaimedRuns.delete(key);
    }
    const due = [...this.unclaimedRuns.values()].filter(
      ({key, recalledAt}) =>
        now - recalledAt >= RECALL_RETRY_MS && isUnwanted(key),
    );
    for (const run of due) run.recalledAt = now;
    return due;
  }

  /** Returns and removes the run of a task, which its job claims. */
  claim(key: string): OutboundRun | undefined {
    const found = this.unclaimedRuns.get(key);
    this.unclaimedRuns.delete(key);
    return found;
  }
}
