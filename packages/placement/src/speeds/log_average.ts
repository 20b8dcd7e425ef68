/** Average and spread of the logarithm of a quantity; older values fade. */

/** A fading average of logarithms: a few large values do not carry it away. */
export class LogAverage {
  private weight = 0;
  private mean = 0;
  private squares = 0;

  /** `window` values count; older ones fade. */
  constructor(private readonly window: number) {}

  /** Values that count at present. */
  get count(): number {
    return this.weight;
  }

  /** Adds one value, more than 0. */
  add(value: number): void {
    const log = Math.log(value);
    const kept = 1 - 1 / this.window;
    this.weight = this.weight * kept + 1;
    const step = log - this.mean;
    this.mean += step / this.weight;
    this.squares = this.squares * kept + step * (log - this.mean);
  }

  /** The average logarithm; 0 while there is none. */
  get average(): number {
    return this.mean;
  }

  /** The variance of the logarithm. */
  get variance(): number {
    return this.weight > 0 ? this.squares / this.weight : 0;
  }
}
