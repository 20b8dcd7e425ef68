/**
 * Forecast of the capacity of a service's workers, for one placement round. A
 * task that is planned for later reserves its capacity until the round is over,
 * so that later jobs are planned beside it. While sizes are uneven, a reservation
 * may also hold its capacity free: another task starts there now only if it ends
 * before that capacity is needed.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';
import type {Run, WorkerRecord} from '../workers/index.js';
import {fits} from './fit.js';
import {ResourceProfile, type Release} from './resource_profile.js';
import type {WaitingSizes} from './waiting_sizes.js';

/** Time from now in which an overdue run is expected to end, in ms. */
const OVERDUE_DELAY_MS = 30;
/**
 * Longest time for which capacity is held, as a share of the run time of the
 * task that waits for it: to hold it longer costs more than the task is late.
 */
const MAX_HOLD_SHARE = 0.3;
/** Maximum number of reservations in a round, which bounds its time. */
const MAX_RESERVATIONS = 256;

/** A task's use of a worker, from now on or in the future. */
export interface PlannedUse {
  readonly worker: WorkerRecord;
  readonly need: Resources;
  readonly startAt: Millis;
  readonly expectedMs: Millis;
}

/** Forecast of the capacity of each worker. */
export class CapacityForecast {
  private readonly profiles = new Map<WorkerRecord, ResourceProfile>();
  /** The profiles with only those reservations that hold capacity. */
  private readonly heldProfiles = new Map<WorkerRecord, ResourceProfile>();
  private reservations = 0;

  constructor(
    private readonly now: Millis,
    readonly sizes: WaitingSizes,
    /** Factor on the run time of a task outside the rack that has its data. */
    readonly remoteFactor: number,
  ) {}

  /** Whether reservations hold capacity and places are ranked by fit. */
  get isUneven(): boolean {
    return this.sizes.isUneven;
  }

  /**
   * What is free for a task that starts now and likely ends within `likelyMs`,
   * without the capacity that is held in that time.
   */
  findFree(worker: WorkerRecord, likelyMs: Millis): Resources {
    // In most rounds nothing is held.
    const held =
      this.heldProfiles.size > 0 ? this.heldProfiles.get(worker) : undefined;
    if (held === undefined) return worker.computeFreeResources();
    return held.findFree(this.now, this.now + likelyMs);
  }

  /** Whether a task that starts now uses capacity that is reserved later. */
  isBackfill(worker: WorkerRecord, need: Resources): boolean {
    const held = this.heldProfiles.get(worker);
    if (held === undefined) return false;
    return !fits(need, held.findFree(this.now, Infinity));
  }

  /** Finds when the worker has room for one more task, beside what waits. */
  findVacancy(worker: WorkerRecord, need: Resources): Millis {
    return this.getProfile(worker).findVacancy(need);
  }

  /** Lists when the worker has room for one more task each, beside what waits. */
  listVacancies(
    worker: WorkerRecord,
    need: Resources,
    limit: number,
  ): readonly Millis[] {
    return this.getProfile(worker).listVacancies(need, limit);
  }

  private getProfile(worker: WorkerRecord): ResourceProfile {
    const known = this.profiles.get(worker);
    if (known !== undefined) return known;
    const profile = this.createProfile(worker);
    this.profiles.set(worker, profile);
    return profile;
  }

  private createProfile(worker: WorkerRecord): ResourceProfile {
    const releases: Release[] = [];
    for (const run of worker.runs.values())
      releases.push({at: this.predictEnd(run), need: run.need});
    const free = worker.computeFreeResources();
    return ResourceProfile.create(free, releases, this.now);
  }

  /**
   * Plans a task for later. Tasks after it are planned beside it; returns whether
   * its capacity is also held free, so that none of them starts there before.
   */
  reserve({worker, need, startAt, expectedMs}: PlannedUse): boolean {
    const isHeld =
      this.isUneven &&
      this.reservations < MAX_RESERVATIONS &&
      startAt - this.now <= MAX_HOLD_SHARE * expectedMs;
    const endAt = startAt + expectedMs;
    // A task kept off held capacity is planned after it, rather than refused.
    const until = isHeld ? endAt : Infinity;
    this.getProfile(worker).reserve(need, startAt, until);
    if (!isHeld) return false;
    this.reservations += 1;
    const held = this.heldProfiles.get(worker) ?? this.createProfile(worker);
    this.heldProfiles.set(worker, held);
    held.reserve(need, startAt, endAt);
    return true;
  }

  /** Records a task that starts now; its run need not be known to the worker. */
  occupy({worker, need, startAt, expectedMs}: PlannedUse): void {
    this.profiles.get(worker)?.reserve(need, startAt, Infinity);
    const held = this.heldProfiles.get(worker);
    held?.reserve(need, startAt, startAt + expectedMs);
  }

  private predictEnd({expectedEndAt}: Run): Millis {
    return Math.max(expectedEndAt, this.now + OVERDUE_DELAY_MS);
  }
}
