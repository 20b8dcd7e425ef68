import {z} from 'zod';

/** Schema of the stand-in's faults; a fault that is left out is off. */
export const keyValueFaultsSchema = z.strictObject({
  /** Delay of each response, in milliseconds. */
  slowMs: z.number().nonnegative().default(0),
  /** Connections are closed before the request takes effect. */
  down: z.boolean().default(false),
  /** Every Nth write takes effect, but gets no response; 0 for none. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Expires all current leases, once. */
  lapseLeases: z.boolean().default(false),
  /** Disconnects all current watches, once. */
  dropWatches: z.boolean().default(false),
});

/** Faults of the stand-in. */
export type KeyValueFaults = z.infer<typeof keyValueFaultsSchema>;
