/** What operators ask of every instance through any one of them. */
import {BackendKind, JobState} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** One job, without payloads. */
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

/** One backend server as its holder sees it. */
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

/** What one instance says of itself. */
export const inspectionSchema = z.object({
  incarnation: z.string(),
  jobs: z.array(jobSummarySchema),
  servers: z.array(serverSummarySchema),
});

/** One job, without payloads. */
export type JobSummary = Readonly<z.infer<typeof jobSummarySchema>>;
/** One backend server as its holder sees it. */
export type ServerSummary = Readonly<z.infer<typeof serverSummarySchema>>;
/** What one instance says of itself. */
export type Inspection = Readonly<z.infer<typeof inspectionSchema>>;
