/**
 * The sizes of the tasks that wait for the workers of one service. They decide
 * whether placement looks ahead, and how much of a remainder is unusable.
 */
import type {Resources} from '../work/index.js';
import {areEqual, divide, fits, subtract} from './fit.js';

/** Maximum number of distinct sizes that are tried on a remainder. */
const MAX_SIZES = 5;
/** Maximum number of tasks that are packed into a remainder. */
const MAX_PACKED = 3;
/** Number of steps of waste on a worker; wastes in the same step are equal. */
const WASTE_STEPS = 64;

const DIMENSIONS = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/** Sizes that wait, and the capacities on which they are placed. */
export class WaitingSizes {
  /** Whether sizes differ, or a worker full of equal tasks has a remainder. */
  readonly isUneven: boolean;
  private packing: Packing | undefined;
  private readonly wasteByRemainder = new Map<number, number>();

  /** `needs` of all waiting tasks' steps, `capacities` of all usable workers. */
  constructor(
    private readonly needs: readonly Resources[],
    private readonly capacities: readonly Resources[],
  ) {
    this.isUneven = areUneven(needs, capacities);
  }

  /**
   * The share of a typical worker that no waiting task can use of `remainder`,
   * in steps; scarce resources count most.
   */
  measureWaste(remainder: Resources): number {
    const key = this.toKey(remainder);
    const known = this.wasteByRemainder.get(key);
    if (known !== undefined) return known;
    this.packing ??= createPacking(this.needs, this.capacities);
    const waste = Math.round(findWaste(this.packing, remainder, 0, MAX_PACKED));
    this.wasteByRemainder.set(key, waste);
    return waste;
  }

  private toKey({cpuMillis, memoryMb, accelerators}: Resources): number {
    // Distinct below 4,096 GB and 64 accelerators.
    const cpu = Math.round(cpuMillis / 100);
    return (cpu * 65_536 + Math.round(memoryMb / 64)) * 64 + accelerators;
  }
}

/** What the waste of a remainder is computed from. */
interface Packing {
  readonly sizes: readonly Resources[];
  /** Weight of each resource. */
  readonly weights: Resources;
}

function createPacking(
  needs: readonly Resources[],
  capacities: readonly Resources[],
): Packing {
  const sizes = sample(needs);
  return {sizes, weights: weighDimensions(sizes, capacities)};
}

/** Tries sizes from `first` on, so that each combination is tried once. */
function findWaste(
  packing: Packing,
  remainder: Resources,
  first: number,
  left: number,
): number {
  const {sizes, weights} = packing;
  let least = weigh(remainder, weights);
  if (left === 0) return least;
  for (let index = first; index < sizes.length; index += 1) {
    const size = sizes[index];
    if (size === undefined || !fits(size, remainder)) continue;
    const rest = subtract(remainder, size, 1);
    least = Math.min(least, findWaste(packing, rest, index, left - 1));
  }
  return least;
}

function weigh(amounts: Resources, weights: Resources): number {
  return (
    amounts.cpuMillis * weights.cpuMillis +
    amounts.memoryMb * weights.memoryMb +
    amounts.accelerators * weights.accelerators
  );
}

function areUneven(
  needs: readonly Resources[],
  capacities: readonly Resources[],
): boolean {
  const [first] = needs;
  if (first === undefined) return false;
  if (needs.some(need => !areEqual(need, first))) return true;
  return capacities.some(capacity => leavesRemainder(first, capacity));
}

/** Whether the resource that runs out first is not used up by equal tasks. */
function leavesRemainder(need: Resources, capacity: Resources): boolean {
  const count = Math.min(
    divide(capacity.cpuMillis, need.cpuMillis),
    divide(capacity.memoryMb, need.memoryMb),
    divide(capacity.accelerators, need.accelerators),
  );
  return Number.isFinite(count) && !Number.isInteger(count);
}

/** Chooses a few of the sizes, evenly by processors, the largest one first. */
function sample(needs: readonly Resources[]): readonly Resources[] {
  const sorted = [...needs].sort((a, b) => b.cpuMillis - a.cpuMillis);
  const distinct = sorted.filter((need, index) => {
    const before = sorted[index - 1];
    return before === undefined || !areEqual(need, before);
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
  const capacity = average(capacities);
  const size = average(sizes);
  for (const name of DIMENSIONS) {
    if (capacity[name] > 0) scarcities[name] = size[name] / capacity[name];
  }
  const most = Math.max(...DIMENSIONS.map(name => scarcities[name]));
  for (const name of DIMENSIONS) {
    if (capacity[name] > 0 && most > 0)
      weights[name] = (WASTE_STEPS * scarcities[name]) / most / capacity[name];
  }
  return weights;
}

function average(amounts: readonly Resources[]): Resources {
  const mean = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  const share = 1 / Math.max(1, amounts.length);
  for (const {cpuMillis, memoryMb, accelerators} of amounts) {
    mean.cpuMillis += share * cpuMillis;
    mean.memoryMb += share * memoryMb;
    mean.accelerators += share * accelerators;
  }
  return mean;
}
