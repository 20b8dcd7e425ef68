/** State of an instance for operators; any instance can collect it from all. */
import {BackendKind, JobState} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** State and task counts of one job, without payloads. */
export const jobSummarySchema = z.object({
  session: z.string(),
  key: z.string(),
  team: z.string(),
  state: z.enum(JobState),
  tasks: z.number().int(),
  done: z.number().int(),
  failed: z.number().int(),
  ageMs: z.number(),
});

/** State of one backend server, as known to its holder. */
export const serverSummarySchema = z.object({
  server: z.string(),
  kind: z.enum(BackendKind),
  zone: z.string(),
  pool: z.string(),
  holder: z.string(),
  slots: z.number(),
  inUse: z.number(),
  speed: z.number(),
  /** `live`, `leaving`, `ejected` or `probing`. */
  state: z.string(),
});

/** Jobs and backend servers of one instance. */
export const inspectionSchema = z.object({
  incarnation: z.string(),
  jobs: z.array(jobSummarySchema),
  servers: z.array(serverSummarySchema),
});

/** State and task counts of one job, without payloads. */
export type JobSummary = Readonly<z.infer<typeof jobSummarySchema>>;
/** State of one backend server, as known to its holder. */
export type ServerSummary = Readonly<z.infer<typeof serverSummarySchema>>;
/** Jobs and backend servers of one instance. */
export type Inspection = Readonly<z.infer<typeof inspectionSchema>>;
