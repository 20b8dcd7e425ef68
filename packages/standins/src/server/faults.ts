/** Fault injection for stand-ins: one document, always replaced as a whole. */
import {z} from 'zod';

/** The faults that can be injected; a fault that is left out is off. */
export const faultsSchema = z.strictObject({
  /** Accepts connections and requests, and handles none until it is unset. */
  frozen: z.boolean().default(false),
  /** Stops listening: new connections are refused, idle ones closed. */
  refuseConnections: z.boolean().default(false),
  /** Every started task fails immediately. */
  failAll: z.boolean().default(false),
  /** Multiplies the run time of every started task. */
  slowFactor: z.number().positive().default(1),
  /** Refuses new tasks, as a server does that is shutting down. */
  leaving: z.boolean().default(false),
  /** Starts the task, then closes the connection without a reply. */
  resetAfterStart: z.boolean().default(false),
  /** Runs the task, but closes the connection instead of every Nth reply. */
  loseEveryNthReply: z.number().int().min(0).default(0),
  /** Delays each reply, in milliseconds. */
  replyDelayMs: z.number().min(0).default(0),
  /** The instance list responds with 503. */
  listOut: z.boolean().default(false),
  /** Overrides the delay from the stand-in's options, in milliseconds. */
  lagMs: z.number().min(0).optional(),
});

/** All faults, each with its value. */
export type Faults = Readonly<z.infer<typeof faultsSchema>>;

/** Faults to inject; those left out are off. */
export type FaultsInput = Readonly<z.input<typeof faultsSchema>>;

/** The current faults of one stand-in. */
export class FaultState {
  private faults: Faults = faultsSchema.parse({});
  private readonly listeners: Array<(faults: Faults) => void> = [];
  private thawWaiters: Array<() => void> = [];

  /** The current faults. */
  get current(): Faults {
    return this.faults;
  }

  /** Replaces all faults; those that `input` leaves out are turned off. */
  set(input: FaultsInput): void {
    this.faults = faultsSchema.parse(input);
    for (const listener of this.listeners) listener(this.faults);
    if (!this.faults.frozen) this.resolveThawWaiters();
  }

  /** Calls `listener` after each replacement. */
  onChange(listener: (faults: Faults) => void): void {
    this.listeners.push(listener);
  }

  /** Resolves as soon as the `frozen` fault is off. */
  async waitWhileFrozen(): Promise<void> {
    while (this.faults.frozen) {
      await new Promise<void>(resolve => this.thawWaiters.push(resolve));
    }
  }

  private resolveThawWaiters(): void {
    const waiting = this.thawWaiters;
    this.thawWaiters = [];
    for (const resolve of waiting) resolve();
  }
}
