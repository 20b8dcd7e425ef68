/**
 * Free resources of one worker at each moment of the near future: what is free
 * now, plus what the runs that end by then release, minus what is reserved.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';
import {countFitting, fits, subtract} from './fit.js';

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
  /** Kept until the next reservation. */
  private steady: readonly Resources[] | undefined;

  private constructor(private readonly levels: Level[]) {}

  /** Creates the profile of a worker that has `free` resources at `now`. */
  static create(
    free: Resources,
    releases: readonly Release[],
    now: Millis,
  ): ResourceProfile {
    const sorted = [...releases].sort((a, b) => a.at - b.at);
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
    let least: Resources | undefined;
    for (const [index, {at, free}] of this.levels.entries()) {
      if (at >= until) break;
      const end = this.levels[index + 1]?.at ?? Infinity;
      if (end <= from) continue;
      least = least === undefined ? free : takeLess(least, free);
    }
    return least ?? {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  }

  /** Finds the first time after the first level at which `need` fits once more. */
  findVacancy(need: Resources): Millis {
    const steady = this.getSteady();
    const last = steady[steady.length - 1];
    if (last === undefined || !fits(need, last)) return Infinity;
    const [first = last] = steady;
    const before = countFitting(need, first);
    for (let index = 1; index < steady.length; index += 1) {
      const free = steady[index];
      if (free !== undefined && countFitting(need, free) > before)
        return this.levels[index]?.at ?? Infinity;
    }
    return Infinity;
  }

  /**
   * Lists the times after the first level at which `need` fits once more, and
   * stays free from then on; at most `limit`, the first one first.
   */
  listVacancies(need: Resources, limit: number): Millis[] {
    const counts = this.getSteady().map(free => countFitting(need, free));
    const times: Millis[] = [];
    for (let index = 1; index < counts.length; index += 1) {
      const [before = 0, count = 0] = counts.slice(index - 1, index + 1);
      const added = Math.min(limit - times.length, count - before);
      const at = this.levels[index]?.at ?? Infinity;
      for (let place = 0; place < added; place += 1) times.push(at);
    }
    return times;
  }

  /** What is free from each level on, which grows from level to level. */
  private getSteady(): readonly Resources[] {
    if (this.steady !== undefined) return this.steady;
    const {levels} = this;
    const steady: Resources[] = levels.map(({free}) => free);
    if (this.hasReservations) {
      for (let index = steady.length - 2; index >= 0; index -= 1) {
        const [free, next] = [steady[index], steady[index + 1]];
        if (free !== undefined && next !== undefined)
          steady[index] = takeLess(free, next);
      }
    }
    this.steady = steady;
    return steady;
  }

  /** Reserves `need` from `from` until `until`. */
  reserve(need: Resources, from: Millis, until: Millis): void {
    this.hasReservations = true;
    this.steady = undefined;
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

function takeLess(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}
