/** Decaying mean and variance of the logarithm of a quantity. */

/** A decaying mean of logarithms, which is robust against a few outliers. */
export class LogAverage {
  private weight = 0;
  private mean = 0;
  private sumOfSquares = 0;

  /** `window` is the approximate number of recent values that count. */
  constructor(private readonly window: number) {}

  /** Effective number of values in the mean. */
  get count(): number {
    return this.weight;
  }

  /** Adds one value, which must be greater than 0. */
  add(value: number): void {
    const log = Math.log(value);
    const decay = 1 - 1 / this.window;
    this.weight = this.weight * decay + 1;
    const delta = log - this.mean;
    this.mean += delta / this.weight;
    this.sumOfSquares = this.sumOfSquares * decay + delta * (log - this.mean);
  }

  /** The mean of the logarithms; 0 without values. */
  get average(): number {
    return this.mean;
  }

  /** The variance of the logarithms; 0 without values. */
  get variance(): number {
    return this.weight > 0 ? this.sumOfSquares / this.weight : 0;
  }
}
