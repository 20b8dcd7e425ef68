/** Messages between the instances of one deployment. */
import {AbandonReason, RefusalReason} from '@goldcrestpier/dispatch';
import {z} from 'zod';
import {evacuatedZonesSchema} from './evacuated_zones.js';

/** Maximum number of workers in one row of free capacity. */
const MAX_WORKERS_PER_ROW = 10_000;

const claimSchema = z.object({
  /** Id of the instance that is the holder of the zone. */
  holderId: z.string(),
  token: z.number(),
  /**
   * Time since the zone may have runs that no job has claimed, in ms; left out
   * if all of them are over by now.
   */
  unsettledMs: z.number().nonnegative().optional(),
});

/**
 * Workers with the same free capacity: slowness, thousandths of a processor,
 * memory in MB, number of workers.
 */
const vacancySchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number().int().positive().max(MAX_WORKERS_PER_ROW),
]);

/** A crash of a worker while a run of a task was there. */
const crashReportSchema = z.object({
  /** The formatted name of the task. */
  task: z.string(),
  workerId: z.string(),
  /** Unix time of the start of the worker's incarnation, in ms. */
  workerBornAt: z.number(),
  /** Whether other tasks ran there as well. */
  isShared: z.boolean(),
  /** Time since the crash became known, in ms. */
  ageMs: z.number().nonnegative(),
});

/** A task with a start command that its worker may execute late. */
const unansweredStartSchema = z.object({
  /** The formatted name of the task. */
  task: z.string(),
  /** Time until a run that the command starts late has ended, in ms. */
  remainingMs: z.number().nonnegative(),
});

/** What the sender knows of tasks; empty lists are left out. */
const taskHistoryShape = {
  crashes: z.array(crashReportSchema).readonly().optional(),
  unansweredStarts: z.array(unansweredStartSchema).readonly().optional(),
};

/**
 * Jobs that still run in the sender's zone though nobody waits for them there;
 * left out if there are none.
 */
const abandonedJobsSchema = z.object({
  abandonedJobs: z.array(z.string()).readonly().optional(),
  /** Number of such jobs that the list lacks. */
  abandonedJobsLeftOut: z.number().int().nonnegative().optional(),
});

/** The fencing token of the holder of a zone. */
const zoneTokenSchema = z.object({zone: z.string(), token: z.number()});

const freeCapacitySchema = z.object({
  service: z.string(),
  vacancies: z.array(vacancySchema),
});

/** Sent to peers periodically, and answered with the receiver's own. */
export const heartbeatSchema = z.object({
  id: z.string(),
  zone: z.string(),
  address: z.string(),
  /** Processors that the sender may use; may be fractional. */
  processors: z.number(),
  isLeaving: z.boolean(),
  /** The highest claim that the sender knows. */
  claim: claimSchema.optional(),
  /** Time since the sender heard that holder, in ms. */
  holderHeardMs: z.number().optional(),
  configurationVersion: z.number(),
  /** Time since that version was known to be the newest, in ms. */
  configurationAgeMs: z.number().optional(),
  /** The evacuated zones; left out before any evacuation was seen. */
  evacuated: evacuatedZonesSchema.optional(),
  /** Free capacity of the sender's workers, sent by holders to other zones. */
  rooms: z.array(freeCapacitySchema).optional(),
  /** What the sender got to know recently; all, for a peer that is new. */
  ...taskHistoryShape,
  /** Tokens of other zones' holders that the sender got to know recently. */
  zoneTokens: z.array(zoneTokenSchema).readonly().optional(),
  /** Sent by holders to other zones. */
  ...abandonedJobsSchema.shape,
});

const requirementsSchema = z.object({
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const stepSchema = z.object({
  tasks: z.number().int().positive(),
  need: requirementsSchema,
  estimateMs: z.number(),
  after: z.array(z.number().int().nonnegative()),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxPerWorker: z.number().int().positive().optional(),
});

const taskProgressStateSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('waiting')}),
  z.object({
    kind: z.literal('running'),
    run: z.number(),
    workerId: z.string(),
    tookMs: z.number(),
  }),
  z.object({
    kind: z.literal('lent'),
    run: z.number(),
    zone: z.string(),
    tookMs: z.number(),
  }),
  z.object({kind: z.literal('done')}),
]);

/** The progress of a job as reported by a holder that steps down. */
const jobProgressSchema = z.object({
  isComplete: z.boolean(),
  tasks: z
    .array(
      z.object({
        key: z.string(),
        lastRun: z.number(),
        failures: z.number(),
        state: taskProgressStateSchema,
      }),
    )
    .readonly(),
});

/** Submits a job to the holder; answered when the job has ended. */
export const jobSubmissionSchema = z.object({
  /** Id of the job's owner, the instance that answers the caller. */
  ownerId: z.string(),
  /** Number of the owner's request, which rises; none from an older version. */
  request: z.number().int().positive().optional(),
  /** Whether another holder may have started some of its tasks. */
  isResumed: z.boolean(),
  id: z.string(),
  queue: z.string(),
  service: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetMs: z.number(),
  payload: z.string(),
  steps: z.array(stepSchema),
  /** Time since the job arrived, in ms. */
  ageMs: z.number(),
  /** Time until the job's deadline, in ms. */
  remainingMs: z.number(),
  /** The progress that the previous holder reported when it stepped down. */
  progress: jobProgressSchema.optional(),
  /** The history of the job's tasks, from earlier submissions as well. */
  ...taskHistoryShape,
});

/** Delegates one task; answered when its run has ended. */
export const taskDelegationSchema = z.object({
  /** The zone that delegates the task, and the token of its holder. */
  homeZone: z.string(),
  token: z.number(),
  job: jobSubmissionSchema,
  step: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
  run: z.number().int().positive(),
  /** Reattaches to a run that was delegated before; starts nothing. */
  isJoin: z.boolean(),
  /** The progress that the previous holder reported when it stepped down. */
  progress: jobProgressSchema.optional(),
});

/** Recalls a delegated task. */
export const delegationRecallSchema = z.object({
  /** The zone that recalls the task, and the token of its holder. */
  homeZone: z.string(),
  token: z.number(),
  /** The formatted name of the task. */
  task: z.string(),
  /** The number of the run; none from an older version. */
  run: z.number().int().positive().optional(),
});

/** Requests the tasks that the peer runs for a zone. */
export const delegatedTasksQuerySchema = z.object({
  /** The requesting zone, and the token of its holder. */
  homeZone: z.string(),
  token: z.number(),
});

/** The tasks that the peer runs, or may run, for a zone. */
export const delegatedTaskListSchema = z.object({
  /** Whether no other tasks can be running there for any zone. */
  isComplete: z.boolean(),
  /** Whether the peer has polled its workers, so that it knows their runs. */
  hasPolledWorkers: z.boolean().optional(),
  tasks: z.array(z.object({key: z.string(), run: z.number()})),
  /** All that the peer knows, of any zone. */
  ...taskHistoryShape,
  /** Fencing token of the peer; left out if it is not the holder. */
  holderToken: z.number().optional(),
  ...abandonedJobsSchema.shape,
});

/** How a job ended, or that this instance isn't the holder. */
export const jobAnswerSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('completed')}),
  z.object({kind: z.literal('failed')}),
  z.object({
    kind: z.literal('refused'),
    reason: z.enum(RefusalReason),
    retryAfterMs: z.number(),
  }),
  z.object({kind: z.literal('abandoned'), reason: z.enum(AbandonReason)}),
  /**
   * Not the holder. `mayHaveStarted`: it was the holder and has been replaced
   * since; `progress` is the job's progress at that time. `isCancelled`: no
   * owner counted as alive any more, so that its runs are being stopped.
   */
  z.object({
    kind: z.literal('not_holder'),
    mayHaveStarted: z.boolean(),
    progress: jobProgressSchema.optional(),
    isCancelled: z.boolean().optional(),
    /** The history of the job's tasks. */
    ...taskHistoryShape,
  }),
]);

/** How a delegated task ended, and the zone's free capacity. */
export const delegationAnswerSchema = z.object({
  answer: jobAnswerSchema,
  rooms: z.array(freeCapacitySchema).optional(),
  /** The history of the job's tasks. */
  ...taskHistoryShape,
});

/** Cancels an owner's requests for a job; later ones are not concerned. */
export const jobCancellationSchema = z.object({
  ownerId: z.string(),
  jobId: z.string(),
  /** Number of the last request; from an older version none, for all. */
  lastRequest: z.number().int().positive().optional(),
  /** Why; an older version doesn't tell. */
  reason: z
    .enum([AbandonReason.Cancelled, AbandonReason.CallerLeft])
    .optional(),
});

/** The claim of an instance to be the holder of a zone, with its token. */
export type Claim = z.infer<typeof claimSchema>;
/** The fencing token of the holder of a zone. */
export type ZoneToken = z.infer<typeof zoneTokenSchema>;
/** Jobs that still run though nobody waits for them. */
export type AbandonedJobList = z.infer<typeof abandonedJobsSchema>;
/** Sent to peers periodically. */
export type ZoneHeartbeat = z.infer<typeof heartbeatSchema>;
/** Submits a job to the holder. */
export type JobSubmission = z.infer<typeof jobSubmissionSchema>;
/** Delegates one task. */
export type TaskDelegation = z.infer<typeof taskDelegationSchema>;
/** Recalls a delegated task. */
export type DelegationRecall = z.infer<typeof delegationRecallSchema>;
/** Requests the tasks that the peer runs for a zone. */
export type DelegatedTasksQuery = z.infer<typeof delegatedTasksQuerySchema>;
/** The tasks that the peer runs, or may run, for a zone. */
export type DelegatedTaskList = z.infer<typeof delegatedTaskListSchema>;
/** The answer to a submission. */
export type JobAnswer = z.infer<typeof jobAnswerSchema>;
/** How a delegated task ended, and the zone's free capacity. */
export type DelegationAnswer = z.infer<typeof delegationAnswerSchema>;
/** Cancels a job. */
export type JobCancellation = z.infer<typeof jobCancellationSchema>;
