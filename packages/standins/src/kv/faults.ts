import {z} from 'zod';

/** Faults of the stand-in. What is not named is off. */
export const keyValueFaultsSchema = z.strictObject({
  /** Each answer waits this long, in milliseconds. */
  slowMs: z.number().nonnegative().default(0),
  /** Connections are broken before anything takes effect. */
  down: z.boolean().default(false),
  /** Every Nth write takes effect and its answer is lost; 0 for none. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Every lease ends, once, now. */
  lapseLeases: z.boolean().default(false),
  /** Every waiting watch is broken, once, now. */
  dropWatches: z.boolean().default(false),
});

/** Faults of the stand-in. */
export type KeyValueFaults = z.infer<typeof keyValueFaultsSchema>;
