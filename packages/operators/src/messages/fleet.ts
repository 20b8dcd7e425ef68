/** Jobs, instances and backend servers over all instances that were reached. */
import {
  jobSummarySchema,
  MemberState,
  serverSummarySchema,
} from '@goldcrestpier/peers';
import {z} from 'zod';

/** Incarnations that did not answer; what they know is missing. */
const unreached = z.array(z.string());

/** The jobs of every instance that was reached. */
export const fleetJobsSchema = z.object({
  jobs: z.array(jobSummarySchema),
  unreached,
});

/** One entry instance as this one knows it. */
export const instanceSummarySchema = z.object({
  /** `zone.instance.nonce`. */
  incarnation: z.string(),
  zone: z.string(),
  instance: z.string(),
  state: z.enum(MemberState),
  peerAddress: z.string(),
  weight: z.number(),
  settingsRevision: z.number().int(),
  /** Whether it answered just now. */
  reached: z.boolean(),
  /** Jobs that it owns and that have not ended; 0 when it was not reached. */
  openJobs: z.number().int(),
});

/** Every entry instance that this one knows. */
export const fleetInstancesSchema = z.object({
  instances: z.array(instanceSummarySchema),
});

/** The backend servers of every holder that was reached. */
export const fleetServersSchema = z.object({
  servers: z.array(serverSummarySchema),
  unreached,
});

/** The answer to the order for a planned stop. */
export const drainAnswerSchema = z.object({
  incarnation: z.string(),
  /** Jobs that have yet to end before the process exits. */
  openJobs: z.number().int(),
});

/** The jobs of every instance that was reached. */
export type FleetJobs = Readonly<z.infer<typeof fleetJobsSchema>>;
/** One entry instance as this one knows it. */
export type InstanceSummary = Readonly<z.infer<typeof instanceSummarySchema>>;
/** Every entry instance that this one knows. */
export type FleetInstances = Readonly<z.infer<typeof fleetInstancesSchema>>;
/** The backend servers of every holder that was reached. */
export type FleetServers = Readonly<z.infer<typeof fleetServersSchema>>;
/** The answer to the order for a planned stop. */
export type DrainAnswer = Readonly<z.infer<typeof drainAnswerSchema>>;
