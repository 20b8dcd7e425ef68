/** The operators' configuration, as an instance passes it to a peer. */
import {z} from 'zod';

const queueSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  service: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetMs: z.number(),
  timeoutMs: z.number(),
});

/** The configuration that a peer knows. */
export const configurationSchema = z.object({
  version: z.number(),
  queues: z.array(queueSchema),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
});
