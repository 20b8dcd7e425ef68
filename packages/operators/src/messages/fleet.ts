/**
 * Messages about jobs, instances and backend servers, combined from this
 * instance and every peer that answered.
 */
import {
  jobSummarySchema,
  MemberState,
  serverSummarySchema,
} from '@goldcrestpier/peers';
import {z} from 'zod';

/** Incarnations that did not answer, so that their part is missing. */
const unreachedSchema = z.array(z.string());

/** Jobs of every instance that answered. */
export const fleetJobsSchema = z.object({
  jobs: z.array(jobSummarySchema),
  unreached: unreachedSchema,
});

/** One entry instance, as seen by the answering instance. */
export const instanceSummarySchema = z.object({
  /** Unique id of the process, in the form `zone.instance.nonce`. */
  incarnation: z.string(),
  zone: z.string(),
  instance: z.string(),
  state: z.enum(MemberState),
  peerAddress: z.string(),
  weight: z.number(),
  settingsRevision: z.number().int(),
  /** Whether the instance answered the current request. */
  reached: z.boolean(),
  /** Owned jobs that have not ended; 0 when the instance did not answer. */
  openJobs: z.number().int(),
});

/** Every entry instance known to the answering instance. */
export const fleetInstancesSchema = z.object({
  instances: z.array(instanceSummarySchema),
});

/** Backend servers of every holder that answered. */
export const fleetServersSchema = z.object({
  servers: z.array(serverSummarySchema),
  unreached: unreachedSchema,
});

/** Response to the request for a planned stop. */
export const drainAnswerSchema = z.object({
  incarnation: z.string(),
  /** Number of jobs that must end before the process exits. */
  openJobs: z.number().int(),
});

/** Jobs of every instance that answered. */
export type FleetJobs = Readonly<z.infer<typeof fleetJobsSchema>>;
/** One entry instance, as seen by the answering instance. */
export type InstanceSummary = Readonly<z.infer<typeof instanceSummarySchema>>;
/** Every entry instance known to the answering instance. */
export type FleetInstances = Readonly<z.infer<typeof fleetInstancesSchema>>;
/** Backend servers of every holder that answered. */
export type FleetServers = Readonly<z.infer<typeof fleetServersSchema>>;
/** Response to the request for a planned stop. */
export type DrainAnswer = Readonly<z.infer<typeof drainAnswerSchema>>;
