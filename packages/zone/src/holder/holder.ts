/**
 * The holder of a zone, that is, its elected leader: it executes the commands
 * of the dispatcher at the workers and returns the results to job owners.
 */
import {Dispatcher, type Command} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import type {WorkerListing} from '../ports/index.js';
import type {
  JobAction,
  JobPresence,
  JobAnswer,
  JobCancellation,
  JobSubmission,
  TaskDelegation,
  DelegatedTaskList,
  DelegationRecall,
  ZoneHeartbeat,
} from '../protocol/index.js';
import {judgePresence} from './job_presence.js';
import {LostResponses} from './lost_responses.js';
import {busyAnswer, notHolderAnswer} from './refusals.js';
import {CommandSender} from './command_sender.js';
import {DelegationDiscovery} from './delegation_discovery.js';
import {DelegatedTasks, type IsTaskWanted} from './delegated_tasks.js';
import {EvacuationState, WithheldStart} from './evacuation_state.js';
import {executeCommand} from './execute_command.js';
import type {HolderOptions} from './holder_options.js';
import {SubmissionHandler} from './submission_handler.js';
import {TaskDelegator} from './task_delegator.js';
import {findListingAge, isListingAwaited} from './listing_age.js';
import {countOrphans, countRuns, countWaitingJobs} from './run_counts.js';
import {AbandonedJobs, reportAbandonedJobs} from './abandoned_jobs.js';
import {
  clearVacancies,
  formatFreeCapacity,
  updateZoneVacancies,
} from './free_capacity.js';
import {OverloadDetector} from './overload_detector.js';
import {createObserver, logDelegatedTasks, logPlacements} from './observer.js';
import {PendingAnswers} from './pending_answers.js';
import {WorkerPollers} from './worker_pollers.js';

/** Interval at which the dispatcher checks its timeouts, in ms. */
const TICK_INTERVAL_MS = 25;

/** Dispatches to a zone's workers until a higher fencing token is seen. */
export class Holder {
  /** The jobs that still run here though nobody waits for them. */
  readonly abandonedJobs: AbandonedJobs;
  private readonly dispatcher: Dispatcher;
  private readonly commandSender: CommandSender;
  private readonly delegator: TaskDelegator;
  private readonly discovery: DelegationDiscovery;
  private readonly submissions: SubmissionHandler;
  private readonly delegatedTasks: DelegatedTasks;
  private readonly pollers: WorkerPollers;
  private readonly evacuation: EvacuationState;
  private readonly pendingAnswers = new PendingAnswers();
  private readonly holderSince = readClock();
  private readonly overloadDetector = new OverloadDetector(TICK_INTERVAL_MS);
  private workerListing: WorkerListing | undefined;
  private isTickScheduled = false;
  private isClosed = false;

  constructor(private readonly options: HolderOptions) {
    const {dispatchOptions, history, logger, metrics, lifecycle} = options;
    this.abandonedJobs = new AbandonedJobs(options);
    this.dispatcher = new Dispatcher(
      dispatchOptions,
      this.holderSince,
      createObserver(logger, metrics),
      history,
    );
    const {dispatcher} = this;
    this.evacuation = new EvacuationState({...options, dispatcher});
    const shared = {
      ...options,
      dispatcher,
      evacuation: this.evacuation,
      pendingAnswers: this.pendingAnswers,
      lostResponses: new LostResponses(),
      isActive: () => !this.isClosed,
      onChange: () => this.scheduleTick(),
    };
    const onFenced = (workerId: string) => this.stepDown(workerId);
    this.pollers = new WorkerPollers({...shared, onFenced});
    this.commandSender = new CommandSender({
      ...shared,
      processes: this.pollers.processes,
      onCommand: workerId => this.pollers.wake(workerId),
      onFenced,
    });
    this.delegator = new TaskDelegator(shared);
    this.discovery = new DelegationDiscovery(shared);
    this.submissions = new SubmissionHandler({
      ...shared,
      overloadDetector: this.overloadDetector,
    });
    this.delegatedTasks = new DelegatedTasks({
      ...shared,
      onCommands: commands => this.executeAll(commands),
    });
    const timer = setInterval(() => {
      this.overloadDetector.recordTick(readClock());
      this.pollers.pollUnfenced(readClock());
      this.runTick();
    }, TICK_INTERVAL_MS);
    lifecycle.own('holder', () => {
      clearInterval(timer);
      this.close();
    });
  }

  /** The fencing token that is sent with every request to a worker. */
  get token(): number {
    return this.options.token;
  }

  /** What it knows of other instances that may have claimed the zone. */
  get soleHolder(): Dispatcher['soleHolder'] {
    return this.dispatcher.soleHolder;
  }

  /** Updates the list of workers. */
  setWorkers(listing: WorkerListing): void {
    const now = readClock();
    if (this.isClosed) return;
    this.workerListing = listing;
    this.dispatcher.setWorkers(listing.workers, now);
    const isAwaited = isListingAwaited(listing, this.holderSince, now);
    if (this.evacuation.checkKnown() && !isAwaited)
      this.dispatcher.confirmWorkerList();
    this.pollers.updatePollers();
    this.scheduleTick();
  }

  /** Accepts a job; resolves when it has ended. */
  submit(message: JobSubmission): Promise<JobAnswer> {
    if (this.isClosed) return notHolderAnswer;
    // What has ended is answered to those that waited for it, not to this one.
    this.answerEndedJobs();
    this.pollers.wakeReported(message.progress);
    return this.submissions.submit(message, readClock());
  }

  /** Cancels requests of one owner; the job is stopped when no other waits. */
  cancel(message: JobCancellation): void {
    this.answerEndedJobs();
    this.submissions.cancel(message, readClock());
  }

  /** Finds a job, or cancels it for all its owners. */
  inquire(jobId: string, action: JobAction): JobPresence {
    this.answerEndedJobs();
    const now = readClock();
    const isKnown = this.submissions.inquire(jobId, action, now);
    return judgePresence(isKnown, this.isClosed ? 0 : now - this.holderSince);
  }

  /** Cancels the jobs of every owner for which `isAlive` is false. */
  cancelJobsOfLostOwners(isAlive: (ownerId: string) => boolean): void {
    this.submissions.cancelJobsOfLostOwners(isAlive, readClock());
  }

  /** Queries other zones for the tasks that they run for this one. */
  discoverDelegatedTasks(zones: readonly string[]): void {
    void this.discovery.discover(zones);
  }

  /** Handles a heartbeat of the holder of another zone. */
  handleZoneHeartbeat(message: ZoneHeartbeat): void {
    const now = readClock();
    reportAbandonedJobs(this.dispatcher, message, now);
    // Delegating a task costs more processor time than starting it here.
    const isOverloaded = this.overloadDetector.wasRecentlyOverloaded(now);
    if (isOverloaded && !this.evacuation.refresh()) return;
    updateZoneVacancies(this.dispatcher, message, now);
  }

  /** Finds these jobs anew; `isConfirmed`: a zone still waits for its task. */
  updateAbandonedJobs(isConfirmed: IsTaskWanted): void {
    const now = readClock();
    const jobs = this.dispatcher.findAbandonedJobs(now);
    for (const jobId of this.delegatedTasks.findUnconfirmed(isConfirmed))
      if (!jobs.has(jobId)) jobs.set(jobId, now);
    this.abandonedJobs.update(jobs, now);
  }

  /** Finds the free capacity of each service, as reported to other zones. */
  findFreeCapacity(): ZoneHeartbeat['rooms'] {
    const now = readClock();
    this.evacuation.refresh();
    const capacities = formatFreeCapacity(this.dispatcher, now);
    // An overloaded holder refuses delegated tasks, so it reports none.
    const isOverloaded = this.overloadDetector.wasRecentlyOverloaded(now);
    return isOverloaded ? clearVacancies(capacities) : capacities;
  }

  /** Runs one task for another zone; refuses it if it can't start now. */
  runDelegatedTask(message: TaskDelegation): Promise<JobAnswer> {
    if (this.isClosed) return notHolderAnswer;
    const now = readClock();
    // The outcome of a run that has just ended answers a reattachment to it.
    this.answerEndedJobs();
    const isAccepted =
      message.isJoin || !this.overloadDetector.wasRecentlyOverloaded(now);
    const isStart = isAccepted && !message.isJoin;
    if (isStart && this.evacuation.withholds(WithheldStart.Delegated))
      return busyAnswer;
    this.pollers.wakeReported(message.progress);
    return isAccepted ? this.delegatedTasks.accept(message, now) : busyAnswer;
  }

  /** Stops a task that another zone recalls. */
  recall(message: DelegationRecall): void {
    this.delegatedTasks.recall(message, readClock());
  }

  /** Lists the tasks that run, or may run, here for another zone. */
  listDelegatedTasks(homeZone: string): DelegatedTaskList {
    const now = readClock();
    const delegated = this.delegatedTasks.list(homeZone, now);
    const unknownRuns = countOrphans(this.dispatcher);
    const basis = {zone: homeZone, unknownRuns, heldMs: now - this.holderSince};
    logDelegatedTasks(delegated, basis, this.options.logger);
    return delegated;
  }

  /** Cancels tasks whose zone is unavailable or no longer wants them. */
  cancelUnwantedTasks(isWanted: IsTaskWanted): void {
    this.delegatedTasks.cancelUnwanted(isWanted, readClock());
  }

  /** Counts the jobs of a queue of which no task has started. */
  countWaiting(queue: string): number {
    return countWaitingJobs(this.dispatcher, queue);
  }

  /** Stops, and tells all owners that this instance is no longer the holder. */
  private close(): void {
    if (this.isClosed) return;
    // Owners of ended jobs get the result; the next holder gets the others.
    this.answerEndedJobs();
    this.isClosed = true;
    this.options.logger.info('holder stopped', {
      jobs: this.dispatcher.jobs.size,
      runs: countRuns(this.dispatcher),
      heldMs: Math.round(readClock() - this.holderSince),
    });
    this.submissions.answerNotHolder(readClock());
  }

  private stepDown(workerId: string): void {
    if (this.isClosed) return;
    const {logger, token, onFenced} = this.options;
    logger.warn('worker has seen a higher token; stepping down as holder', {
      worker: workerId,
      token,
    });
    this.close();
    onFenced();
  }

  /** Runs the dispatcher once, at the end of this event loop turn. */
  private scheduleTick(): void {
    if (this.isTickScheduled) return;
    this.isTickScheduled = true;
    setImmediate(() => {
      this.isTickScheduled = false;
      this.runTick();
    });
  }

  private runTick(): void {
    if (this.isClosed) return;
    const now = readClock();
    this.soleHolder.recordActivity(now);
    this.evacuation.refresh();
    this.executeAll(this.dispatcher.tick(now));
    this.answerEndedJobs();
  }

  private answerEndedJobs(): void {
    const now = readClock();
    const endedJobs = this.dispatcher.takeEndedJobs();
    for (const job of endedJobs) this.delegatedTasks.recordEnd(job, now);
    this.submissions.answerJobs(endedJobs, now);
    // A job that was postponed may have ended as soon as it was submitted.
    if (endedJobs.length > 0) this.answerEndedJobs();
  }

  private executeAll(commands: readonly Command[]): void {
    const now = readClock();
    const listAgeMs = findListingAge(this.workerListing, now);
    const basis = {listAgeMs, heldMs: now - this.holderSince};
    logPlacements(commands, this.dispatcher, basis, this.options.logger);
    for (const command of commands)
      void executeCommand(command, this.commandSender, this.delegator);
  }
}
