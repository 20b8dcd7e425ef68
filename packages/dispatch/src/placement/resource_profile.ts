/**
 * Free resources of one worker at each moment of the near future: what is free
 * now, plus what the runs that end by then release, minus what is reserved.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';
import {areEqual, countFitting, fits, subtract} from './fit.js';

const NOTHING: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** From `at` until the next level, `free` is available. */
interface Level {
  readonly at: Millis;
  free: Resources;
}

/** An end of a run, which releases its resources. */
export interface Release {
  readonly at: Millis;
  readonly need: Resources;
}

/** Free resources over time, as a list of levels in the order of their times. */
export class ResourceProfile {
  private hasReservations = false;
  /** Result of `getSteady`, kept until the next reservation. */
  private steady: readonly Resources[] | undefined;
  /** The last answer; tasks of equal size often ask one after another. */
  private vacancy: {readonly need: Resources; readonly at: Millis} | undefined;

  private constructor(private readonly levels: Level[]) {}

  /** Creates the profile of a worker that has `free` resources at `now`. */
  static create(
    free: Resources,
    releases: readonly Release[],
    now: Millis,
  ): ResourceProfile {
    const sorted =
      releases.length > 1
        ? [...releases].sort((a, b) => a.at - b.at)
        : releases;
    const levels: Level[] = [{at: now, free}];
    let current = free;
    for (const {at, need} of sorted) {
      current = subtract(current, need, -1);
      const last = levels[levels.length - 1];
      if (last !== undefined && last.at >= at) last.free = current;
      else levels.push({at, free: current});
    }
    return new ResourceProfile(levels);
  }

  /** What is free during all of the time from `from` until before `until`. */
  findFree(from: Millis, until: Millis): Resources {
    const {levels} = this;
    let least: Resources | undefined;
    for (let index = 0; index < levels.length; index += 1) {
      const level = levels[index];
      if (level === undefined || level.at >= until) break;
      const next = levels[index + 1];
      if (next !== undefined && next.at <= from) continue;
      least = least === undefined ? level.free : takeLess(least, level.free);
    }
    return least ?? NOTHING;
  }

  /** Finds the first time after the first level at which `need` fits once more. */
  findVacancy(need: Resources): Millis {
    if (this.vacancy !== undefined && areEqual(this.vacancy.need, need))
      return this.vacancy.at;
    const at = this.searchVacancy(need);
    this.vacancy = {need, at};
    return at;
  }

  private searchVacancy(need: Resources): Millis {
    const steady = this.getSteady();
    const first = steady[0] ?? NOTHING;
    const last = steady[steady.length - 1] ?? NOTHING;
    if (!fits(need, last)) return Infinity;
    // Most workers are full, where no division is needed.
    const before = fits(need, first) ? countFitting(need, first) : 0;
    for (let index = 1; index < steady.length; index += 1) {
      const free = steady[index] ?? NOTHING;
      if (before === 0 ? fits(need, free) : countFitting(need, free) > before)
        return this.levels[index]?.at ?? Infinity;
    }
    return Infinity;
  }

  /**
   * Lists the times after the first level at which `need` fits once more, and
   * stays free from then on; at most `limit`, the first one first.
   */
  listVacancies(need: Resources, limit: number): Millis[] {
    const steady = this.getSteady();
    const times: Millis[] = [];
    let before = countFitting(need, steady[0] ?? NOTHING);
    for (let index = 1; index < steady.length; index += 1) {
      if (times.length >= limit) break;
      const count = countFitting(need, steady[index] ?? NOTHING);
      const at = this.levels[index]?.at ?? Infinity;
      while (before < count && times.length < limit) {
        times.push(at);
        before += 1;
      }
    }
    return times;
  }

  /** What stays free from each level on; it never falls from level to level. */
  private getSteady(): readonly Resources[] {
    if (this.steady !== undefined) return this.steady;
    const steady = this.levels.map(({free}) => free);
    if (this.hasReservations) {
      for (let index = steady.length - 2; index >= 0; index -= 1) {
        const free = steady[index] ?? NOTHING;
        steady[index] = takeLess(free, steady[index + 1] ?? free);
      }
    }
    this.steady = steady;
    return steady;
  }

  /** Reserves `need` from `from` until `until`. */
  reserve(need: Resources, from: Millis, until: Millis): void {
    this.hasReservations = true;
    this.steady = undefined;
    this.vacancy = undefined;
    this.split(from);
    this.split(until);
    for (const level of this.levels) {
      if (level.at >= until) return;
      if (level.at >= from) level.free = subtract(level.free, need, 1);
    }
  }

  /** Begins a level at this time, unless one does. */
  private split(at: Millis): void {
    if (at === Infinity) return;
    const index = this.levels.findLastIndex(level => level.at <= at);
    const level = this.levels[index];
    if (level === undefined || level.at === at) return;
    this.levels.splice(index + 1, 0, {at, free: level.free});
  }
}

/** The lesser amount of each resource. */
function takeLess(a: Resources, b: Resources): Resources {
  if (fits(a, b)) return a;
  if (fits(b, a)) return b;
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}
