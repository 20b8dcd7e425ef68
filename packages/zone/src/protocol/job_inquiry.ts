/**
 * Inquiries about jobs that callers ask for at an instance where none of them
 * waits, as a caller may send each of its requests to another instance.
 */
import {z} from 'zod';

/** What is to be done with the job. */
export enum JobAction {
  Find = 'find',
  /** Cancel it for all its owners. */
  Cancel = 'cancel',
}

/** Where a holder looks for the job. */
export enum InquiryScope {
  /** Only in its own zone. */
  Zone = 'zone',
  /** In its own zone, and by asking the holders of all others. */
  AllZones = 'all_zones',
}

/** Whether the job exists. */
export enum JobPresence {
  Known = 'known',
  Unknown = 'unknown',
  /** Not all that may know it could be asked. */
  Uncertain = 'uncertain',
}

/** Asks a holder for a job, and cancels it if that is the action. */
export const jobInquirySchema = z.object({
  jobId: z.string(),
  action: z.enum(JobAction),
  scope: z.enum(InquiryScope),
});

/** The answer to an inquiry. */
export const jobPresenceSchema = z.enum(JobPresence);

/** Asks a holder for a job. */
export type JobInquiry = z.infer<typeof jobInquirySchema>;

/** Combines the answers of all that were asked. */
export function combinePresences(
  presences: readonly JobPresence[],
): JobPresence {
  const {Known, Uncertain, Unknown} = JobPresence;
  if (presences.includes(Known)) return Known;
  return presences.includes(Uncertain) ? Uncertain : Unknown;
}
