/** The switch of a stand-in's faults: one document, replaced as a whole. */
import {z} from 'zod';

/** The faults that can be switched on; each is off where it is not named. */
export const faultsSchema = z.strictObject({
  /** Accepts connections and requests, and does nothing until thawed. */
  frozen: z.boolean().default(false),
  /** Stops listening: new connections are refused, idle ones are closed. */
  refuseConnections: z.boolean().default(false),
  /** Every task that is started fails at once. */
  failAll: z.boolean().default(false),
  /** Multiplies the run time of every task that is started. */
  slowFactor: z.number().positive().default(1),
  /** Refuses new work as a leaving server does. */
  leaving: z.boolean().default(false),
  /** Starts the task and closes the connection without a reply. */
  resetAfterStart: z.boolean().default(false),
  /** Does the work, then closes the connection in place of every Nth reply. */
  loseEveryNthReply: z.number().int().min(0).default(0),
  /** Holds each reply back, in milliseconds. */
  replyDelayMs: z.number().min(0).default(0),
  /** The instance list answers 503. */
  listOut: z.boolean().default(false),
  /** Replaces the lag of the settings, in milliseconds. */
  lagMs: z.number().min(0).optional(),
});

/** The faults that are switched on. */
export type Faults = Readonly<z.infer<typeof faultsSchema>>;

/** The faults as a caller names them; those left out are off. */
export type FaultChoice = Readonly<z.input<typeof faultsSchema>>;

/** Holds the faults in force and wakes what waits for a thaw. */
export class FaultSwitch {
  private faults: Faults = faultsSchema.parse({});
  private readonly listeners: Array<(faults: Faults) => void> = [];
  private waiting: Array<() => void> = [];

  /** The faults in force. */
  get current(): Faults {
    return this.faults;
  }

  /** Replaces the faults; those that `choice` leaves out are switched off. */
  set(choice: FaultChoice): void {
    this.faults = faultsSchema.parse(choice);
    for (const listener of this.listeners) listener(this.faults);
    if (!this.faults.frozen) this.release();
  }

  /** Calls `listener` after each change. */
  onChange(listener: (faults: Faults) => void): void {
    this.listeners.push(listener);
  }

  /** Resolves once the stand-in is not frozen. */
  async thawed(): Promise<void> {
    while (this.faults.frozen) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
  }

  private release(): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }
}
