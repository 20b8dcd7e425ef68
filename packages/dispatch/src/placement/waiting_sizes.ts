/**
 * The sizes of the tasks that wait for the workers of one service. They decide
 * whether placement looks ahead, and how much of a remainder is unusable.
 */
import type {Resources} from '../work/index.js';
import {fits, subtract} from './fit.js';

/** Maximum number of distinct sizes that are tried on a remainder. */
const MAX_SIZES = 5;
/** Maximum number of tasks that are packed into a remainder. */
const MAX_PACKED = 3;
/** Remainders that differ by less than this share of a worker are equal. */
const REMAINDER_STEPS = 64;

const DIMENSIONS = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/** Sizes that wait, and the capacities on which they are placed. */
export class WaitingSizes {
  /** Whether tasks of different sizes wait, or none fills its worker evenly. */
  readonly isUneven: boolean;
  private readonly sizes: readonly Resources[];
  private readonly weights: Resources;
  private readonly wasteByRemainder = new Map<number, number>();

  /** Both lists may be long; equal entries that follow each other are cheap. */
  constructor(needs: readonly Resources[], capacities: readonly Resources[]) {
    this.isUneven = areUneven(needs, capacities);
    this.sizes = this.isUneven ? sample(needs) : [];
    this.weights = weighDimensions(this.sizes, capacities);
  }

  /**
   * The share of a typical worker that no waiting task can use of `remainder`,
   * in steps; scarce resources count most.
   */
  measureWaste(remainder: Resources): number {
    const key = this.toKey(remainder);
    const known = this.wasteByRemainder.get(key);
    if (known !== undefined) return known;
    const waste = Math.round(this.findWaste(remainder, 0, MAX_PACKED));
    this.wasteByRemainder.set(key, waste);
    return waste;
  }

  /** Tries sizes from `first` on, so that each combination is tried once. */
  private findWaste(remainder: Resources, first: number, left: number): number {
    let least = this.weigh(remainder);
    if (left === 0) return least;
    for (let index = first; index < this.sizes.length; index += 1) {
      const size = this.sizes[index];
      if (size === undefined || !fits(size, remainder)) continue;
      const rest = subtract(remainder, size, 1);
      least = Math.min(least, this.findWaste(rest, index, left - 1));
    }
    return least;
  }

  private weigh({cpuMillis, memoryMb, accelerators}: Resources): number {
    const {weights} = this;
    return (
      cpuMillis * weights.cpuMillis +
      memoryMb * weights.memoryMb +
      accelerators * weights.accelerators
    );
  }

  private toKey({cpuMillis, memoryMb, accelerators}: Resources): number {
    // Distinct for up to 4,096 GB and 64 accelerators.
    const cpu = Math.round(cpuMillis / 100);
    return (cpu * 65_536 + Math.round(memoryMb / 64)) * 64 + accelerators;
  }
}

function areUneven(
  needs: readonly Resources[],
  capacities: readonly Resources[],
): boolean {
  const [first] = needs;
  if (first === undefined) return false;
  if (needs.some(need => !isEqual(need, first))) return true;
  return capacities.some(capacity => leavesRemainder(first, capacity));
}

function isEqual(a: Resources, b: Resources): boolean {
  return a === b || DIMENSIONS.every(name => a[name] === b[name]);
}

/** Whether the resource that runs out first is not used up by equal tasks. */
function leavesRemainder(need: Resources, capacity: Resources): boolean {
  let count = Infinity;
  for (const name of DIMENSIONS) {
    if (need[name] > 0) count = Math.min(count, capacity[name] / need[name]);
  }
  return Number.isFinite(count) && !Number.isInteger(count);
}

/** Chooses a few of the sizes, evenly by processors, the largest one first. */
function sample(needs: readonly Resources[]): readonly Resources[] {
  const sorted = [...needs].sort((a, b) => b.cpuMillis - a.cpuMillis);
  const distinct = sorted.filter((need, index) => {
    const before = sorted[index - 1];
    return before === undefined || !isEqual(need, before);
  });
  if (distinct.length <= MAX_SIZES) return distinct;
  const gap = (distinct.length - 1) / (MAX_SIZES - 1);
  return Array.from({length: MAX_SIZES}, (_, index) => {
    const chosen = distinct[Math.round(index * gap)];
    return chosen ?? {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  });
}

/** Weighs each resource by the share of a worker that the tasks need of it. */
function weighDimensions(
  sizes: readonly Resources[],
  capacities: readonly Resources[],
): Resources {
  const weights = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  if (sizes.length === 0) return weights;
  const scarcities = {...weights};
  for (const name of DIMENSIONS) {
    const capacity = average(capacities, name);
    if (capacity > 0) scarcities[name] = average(sizes, name) / capacity;
  }
  const most = Math.max(...DIMENSIONS.map(name => scarcities[name]));
  for (const name of DIMENSIONS) {
    const capacity = average(capacities, name);
    if (capacity > 0 && most > 0)
      weights[name] = (REMAINDER_STEPS * scarcities[name]) / most / capacity;
  }
  return weights;
}

function average(
  amounts: readonly Resources[],
  name: (typeof DIMENSIONS)[number],
): number {
  const total = amounts.reduce((sum, amount) => sum + amount[name], 0);
  return total / Math.max(1, amounts.length);
}
