/** Logs the events of a dispatcher and counts them as metrics. */
import {
  DELEGATED_RUN_MAX_MS,
  isLoss,
  RefusalReason,
  RunEnd,
  type Dispatcher,
  type DispatchObserver,
  type Command,
} from '@goldcrestpier/dispatch';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {
  DelegatedTaskList,
  JobSubmission,
  TaskDelegation,
} from '../protocol/index.js';
import {createLengthObserver} from './length_observer.js';
import {createPlanObserver} from './plan_observer.js';
import {countRunsOf} from './run_counts.js';

/** Age from which a list of workers is logged with the placed tasks, in ms. */
const OLD_LIST_MS = 1_000;
/** Age from which the age of a job is logged when it arrives, in ms. */
const LATE_ARRIVAL_MS = 10;

/** Creates the observer of one dispatcher. */
export function createObserver(
  logger: Logger,
  metrics: ZoneMetrics,
): DispatchObserver {
  return {
    runEnded(
      {key: task, number: run, workerId: worker, expectedMs, isShared},
      conclusion,
      tookMs,
    ) {
      const loss = isLoss(conclusion) ? {cause: conclusion, isShared} : {};
      const end = isLoss(conclusion) ? 'lost' : conclusion;
      metrics.runs.inc({end});
      if (isLoss(conclusion)) metrics.lostRuns.inc({cause: conclusion});
      const fields = {
        task,
        run,
        worker,
        end,
        tookMs: Math.round(tookMs),
        // A refused run has not begun, so its time says nothing.
        expectedMs: end === 'refused' ? undefined : Math.round(expectedMs),
        ...loss,
      };
      if (end === RunEnd.Done) logger.debug('run ended', fields);
      else logger.info('run ended', fields);
    },
    jobRefused(
      {isInbound, planned, job: {id: job, arrivedAt}},
      reason,
      {waitMs, retryAfterMs},
      now,
    ) {
      // The zone that delegated the task logs the refusal.
      if (isInbound) return;
      if (reason === RefusalReason.Overloaded)
        metrics.overloadRefusals.inc({size: planned?.sizeClass});
      logger.info('job refused', {
        job,
        reason,
        ageMs: Math.round(now - arrivedAt),
        worth: roundToHundredths(planned?.worth),
        leastWorth: roundToHundredths(planned?.minWorth),
        size: planned?.sizeClass,
        fairness: roundToHundredths(planned?.fairness),
        waitMs: Math.round(waitMs),
        retryAfterMs: Math.round(retryAfterMs),
      });
    },
    ...createCrashObserver(logger, metrics),
    ...createLengthObserver(logger, metrics),
    ...createPlanObserver(metrics),
    workerStruck(worker, reason, ejected) {
      metrics.strikes.inc({reason});
      if (ejected) metrics.ejections.inc({reason});
      logger.info('worker strike recorded', {worker, reason, ejected});
    },
  };
}

type CrashObserver = Pick<
  DispatchObserver,
  | 'lossesExplained'
  | 'crashRecorded'
  | 'jobFailedByCrashes'
  | 'jobBlocked'
  | 'startsForgotten'
>;

/** Creates the part that concerns workers which crash or don't answer. */
function createCrashObserver(
  logger: Logger,
  metrics: ZoneMetrics,
): CrashObserver {
  return {
    lossesExplained(worker, losses, hasRestarted) {
      const tasks = losses.map(({key}) => key).join(' ');
      logger.info('worker that lost runs answers again', {
        worker,
        hasRestarted,
        tasks,
      });
    },
    crashRecorded({key: task, workerId: worker, isShared}, verdict) {
      metrics.taskCrashes.inc({verdict});
      const fields = {task, worker, isShared, verdict};
      logger.warn('worker crashed while it ran a task', fields);
    },
    jobBlocked(job, task, blockedMs) {
      metrics.blockedJobs.inc();
      const fields = {job, task, blockedMs: Math.round(blockedMs)};
      logger.warn('job ends as a start of it may be executed late', fields);
    },
    startsForgotten(count) {
      metrics.forgottenStarts.inc(count);
      logger.error('forgot unanswered starts, as there are too many', {count});
    },
    jobFailedByCrashes(job, task, workerIds) {
      metrics.crashingTasks.inc();
      const workers = workerIds.join(' ');
      const fields = {job, task, workers};
      logger.error('job failed because its task crashes workers', fields);
    },
  };
}

/** Rounds to two decimals, the precision of a worth. */
function roundToHundredths(worth: number | undefined): number | undefined {
  return worth === undefined ? undefined : Math.round(worth * 100) / 100;
}

/** State of the holder that is logged with the tasks it places. */
export interface PlacementContext {
  /** Age of the list of workers. */
  readonly listAgeMs: Millis | undefined;
  /** How long this instance has been the holder. */
  readonly heldMs: Millis;
}

/** Logs one line for each job of which tasks were placed. */
export function logPlacements(
  commands: readonly Command[],
  dispatcher: Dispatcher,
  {listAgeMs, heldMs}: PlacementContext,
  logger: Logger,
): void {
  const placed = new Map<string, string[]>();
  for (const command of commands) {
    if (command.kind !== 'start' && command.kind !== 'lend') continue;
    const {key, recordId, number: run, workerId, expectedMs} = command.run;
    const texts = placed.get(recordId) ?? [];
    const placement = `${key.slice(key.indexOf('.') + 1)}/${run}@${workerId}`;
    texts.push(`${placement}~${Math.round(expectedMs)}`);
    placed.set(recordId, texts);
  }
  const age = describeListAge(listAgeMs);
  for (const [job, texts] of placed) {
    const fields = {job, tasks: texts.join(' '), listAgeMs: age};
    const isResumed = dispatcher.jobs.get(job)?.isResumed === true;
    const takeover = isResumed
      ? describeTakeover(dispatcher, heldMs)
      : describePendingZones(dispatcher, heldMs);
    logger.info('tasks placed', {...fields, ...takeover});
  }
}

/** Returns the age of the list of workers if it is worth a field. */
function describeListAge(ageMs: Millis | undefined): Millis | undefined {
  const isCurrent = ageMs === undefined || ageMs < OLD_LIST_MS;
  return isCurrent ? undefined : Math.round(ageMs);
}

/** Describes how many workers a new holder had polled for the job's runs. */
function describeTakeover({workers}: Dispatcher, heldMs: Millis) {
  const polled = [...workers.values()].filter(
    ({hasAcceptedToken}) => hasAcceptedToken,
  );
  return {
    heldMs: Math.round(heldMs),
    workers: workers.size,
    workersLookedAt: polled.length,
  };
}

/**
 * Names the zones that have not yet listed all that they run for this one, to
 * a new holder that places a job new to it: they may run tasks of the job.
 */
function describePendingZones(
  {delegationSurvey: {zonesPending}}: Dispatcher,
  heldMs: Millis,
) {
  const isTold = zonesPending.length === 0 || heldMs >= DELEGATED_RUN_MAX_MS;
  if (isTold) return {};
  return {heldMs: Math.round(heldMs), zonesPending: zonesPending.join(' ')};
}

/** State of the holder that is logged with a job it accepts. */
export interface AcceptanceContext {
  /** Whether the job was submitted before. */
  readonly isKnown: boolean;
  /** Free CPU of all usable workers, in thousandths of a processor. */
  readonly freeMillis: number;
  /** Time from the job's arrival until it is due; undefined once it ended. */
  readonly objectiveMs: Millis | undefined;
}

/**
 * Logs an accepted job with the state that its outcome depends on. The owner
 * and the earlier history of a job that was never submitted before are left out.
 */
export function logAcceptedJob(
  message: JobSubmission,
  {isKnown, freeMillis, objectiveMs}: AcceptanceContext,
  logger: Logger,
): void {
  const {id, queue, ownerId, isResumed, ageMs, remainingMs} = message;
  const isFirst = !isResumed && !isKnown;
  logger.info('job accepted', {
    job: id,
    queue,
    ...(isFirst ? {} : {ownerId, isResumed, isKnown}),
    ageMs: ageMs < LATE_ARRIVAL_MS ? undefined : Math.round(ageMs),
    remainingMs: Math.round(remainingMs),
    freeMillis,
    objectiveMs:
      objectiveMs === undefined ? undefined : Math.round(objectiveMs),
  });
}

/** What a list of delegated tasks is based on. */
export interface DelegatedTaskContext {
  /** The zone that delegated them. */
  readonly zone: string;
  /** Number of runs that no known job has claimed. */
  readonly unknownRuns: number;
  /** Time since this instance became the holder. */
  readonly heldMs: Millis;
}

/** Logs a list of tasks that another zone delegated. */
export function logDelegatedTasks(
  {tasks, isComplete}: DelegatedTaskList,
  {zone, unknownRuns, heldMs}: DelegatedTaskContext,
  logger: Logger,
): void {
  logger.info('listed delegated tasks for another zone', {
    zone,
    tasks: tasks.length,
    isComplete,
    unknownRuns,
    heldMs: Math.round(heldMs),
  });
}

/** What the record of a join depends on. */
export interface JoinContext {
  readonly dispatcher: Dispatcher;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
}

/** Logs and counts a join for which this zone knows no run of the task. */
export function recordJoin(
  {dispatcher, logger, metrics}: JoinContext,
  {job, homeZone, run, progress}: TaskDelegation,
  recordId: string,
  now: Millis,
): void {
  const record = dispatcher.jobs.get(recordId);
  // A record that is gone has ended by the progress that came with the join.
  const isEnded = record === undefined && progress !== undefined;
  const hasRuns = countRunsOf(dispatcher, recordId) > 0;
  if (isEnded || hasRuns || record?.pendingOutcome !== undefined) return;
  metrics.joinsNotFound.inc();
  logger.info('delegated run not found', {
    job: job.id,
    task: recordId,
    zone: homeZone,
    run,
    isCertain: dispatcher.haveEarlierRunsEnded(now),
  });
}
