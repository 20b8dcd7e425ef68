/**
 * Holds the workers of a zone: carries out what the dispatcher decides and
 * tells the owners of jobs how these ended.
 */
import {
  AbandonReason,
  Dispatcher,
  type Command,
  type ZoneVacancies,
} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import type {WorkerListing} from '../ports/index.js';
import type {
  JobAnswer,
  JobSubmission,
  Lending,
  LentList,
  ZoneHeartbeat,
} from '../protocol/index.js';
import {AnswerLosses} from './answer_losses.js';
import {refusedAsBusy} from './refusals.js';
import {Carrier} from './carrier.js';
import {ForeignTasks, type WantsLent} from './foreign_tasks.js';
import type {HolderOptions} from './holder_options.js';
import {JobDesk} from './job_desk.js';
import {Lender} from './lender.js';
import {findListingAge, isListingAwaited} from './listing_age.js';
import {countOrphans, countRuns} from './run_counts.js';
import {formatRooms, withoutVacancies} from './rooms.js';
import {LoopLoad} from './loop_load.js';
import {createObserver, logPlacements} from './observer.js';
import {Waiters} from './waiters.js';
import {WorkerWatches} from './worker_watches.js';

/** How often the dispatcher looks at its times, in ms. */
const TICK_MS = 25;

/** The holder of a zone's workers, for as long as its token is the highest. */
export class Holder {
  private readonly dispatcher: Dispatcher;
  private readonly carrier: Carrier;
  private readonly lender: Lender;
  private readonly jobs: JobDesk;
  private readonly foreign: ForeignTasks;
  private readonly watches: WorkerWatches;
  private readonly waiters = new Waiters();
  private readonly heldSince = readClock();
  private readonly load = new LoopLoad(TICK_MS);
  private listing: WorkerListing | undefined;
  private isPumpDue = false;
  private isClosed = false;

  constructor(private readonly options: HolderOptions) {
    const {bounds, logger, metrics, lifecycle} = options;
    const observer = createObserver(logger, metrics);
    const losses = new AnswerLosses();
    this.dispatcher = new Dispatcher(bounds, this.heldSince, observer);
    this.carrier = new Carrier({
      token: options.token,
      bounds,
      port: options.port,
      dispatcher: this.dispatcher,
      logger,
      metrics,
      losses,
      onOrder: workerId => this.watches.wake(workerId),
      onChange: () => this.pumpSoon(),
      onFenced: workerId => this.fence(workerId),
    });
    this.watches = new WorkerWatches({
      ...options,
      losses,
      dispatcher: this.dispatcher,
      onChange: () => this.pumpSoon(),
      onFenced: workerId => this.fence(workerId),
    });
    this.lender = new Lender({
      zone: options.zone,
      token: options.token,
      dispatcher: this.dispatcher,
      findZone: options.findZone,
      logger,
      metrics,
      onChange: () => this.pumpSoon(),
    });
    this.jobs = new JobDesk({
      dispatcher: this.dispatcher,
      waiters: this.waiters,
      load: this.load,
      logger,
      metrics,
      onChange: () => this.pumpSoon(),
    });
    this.foreign = new ForeignTasks({
      dispatcher: this.dispatcher,
      waiters: this.waiters,
      onOrders: orders => this.carryOutAll(orders),
      onChange: () => this.pumpSoon(),
    });
    const timer = setInterval(() => {
      this.load.note(readClock());
      this.pump();
    }, TICK_MS);
    lifecycle.own('holder', () => {
      clearInterval(timer);
      this.close();
    });
  }

  /** The token under which the workers are held. */
  get token(): number {
    return this.options.token;
  }

  /** Takes the present list of workers. */
  setWorkers(listing: WorkerListing): void {
    if (this.isClosed) return;
    const now = readClock();
    this.listing = listing;
    this.dispatcher.setWorkers(listing.workers, now);
    const isAwaited = isListingAwaited(listing, this.heldSince, now);
    if (!isAwaited) this.dispatcher.confirmWorkerList();
    this.watches.watchAll();
    this.pumpSoon();
  }

  /** Takes a job; answers when it has ended. */
  submit(message: JobSubmission): Promise<JobAnswer> {
    if (this.isClosed) {
      return Promise.resolve({kind: 'not_holder', mayHaveStarted: false});
    }
    return this.jobs.submit(message, readClock());
  }

  /** One owner gives a job up; it is stopped when no other waits for it. */
  cancel(ownerId: string, jobId: string, reason: AbandonReason): void {
    this.jobs.cancel(ownerId, jobId, reason, readClock());
  }

  /** Gives up the jobs of every owner for whom `isAlive` is false. */
  dropOwners(isAlive: (ownerId: string) => boolean): void {
    this.jobs.dropOwners(isAlive, readClock());
  }

  /** Asks other zones which tasks they run for this one. */
  surveyZones(zones: readonly string[]): void {
    void this.lender.survey(zones);
  }

  /** Takes what the holder of another zone tells of its free workers. */
  tellRoom(room: ZoneVacancies): void {
    const now = readClock();
    // To lend a task costs more than to start it here.
    if (!this.load.isStrained(now))
      this.dispatcher.updateZoneVacancies(room, now);
  }

  /** Free room of all services, as other zones are told. */
  findRooms(): ZoneHeartbeat['rooms'] {
    const now = readClock();
    const rooms = formatRooms(this.dispatcher, now);
    // What others would lend now is turned away.
    return this.load.isStrained(now) ? withoutVacancies(rooms) : rooms;
  }

  /** Runs one task for another zone, now or not at all. */
  takeLent(message: Lending): Promise<JobAnswer> {
    if (this.isClosed) {
      return Promise.resolve({kind: 'not_holder', mayHaveStarted: false});
    }
    const now = readClock();
    const isTaken = message.isJoin || !this.load.isStrained(now);
    return isTaken ? this.foreign.take(message, now) : refusedAsBusy;
  }

  /** Stops a task that another zone takes back. */
  recall(homeZone: string, task: string): void {
    this.foreign.recall(homeZone, task, readClock());
  }

  /** What runs here, or may run, for another zone. */
  listLent(homeZone: string): LentList {
    const now = readClock();
    const lent = this.foreign.list(homeZone, now);
    this.options.logger.info('told another zone what runs for it', {
      zone: homeZone,
      tasks: lent.tasks.length,
      isComplete: lent.isComplete,
      unknownRuns: countOrphans(this.dispatcher),
      heldMs: Math.round(now - this.heldSince),
    });
    return lent;
  }

  /** Stops what runs for zones that are gone or have forgotten it. */
  dropZones(wants: WantsLent): void {
    this.foreign.drop(wants, readClock());
  }

  /** Jobs that no task of has started yet. */
  countWaiting(queue: string): number {
    let count = 0;
    for (const {job, hasStarted} of this.dispatcher.jobs.values()) {
      if (job.queue === queue && !hasStarted) count += 1;
    }
    return count;
  }

  /** Tells all owners that this instance holds the workers no more. */
  private close(): void {
    if (this.isClosed) return;
    // What has ended is answered as it ended; the rest the next holder takes.
    this.tellEnds();
    this.isClosed = true;
    this.options.logger.info('holding ended', {
      jobs: this.dispatcher.jobs.size,
      runs: countRuns(this.dispatcher),
      heldMs: Math.round(readClock() - this.heldSince),
    });
    this.jobs.letGo(readClock());
  }

  private fence(workerId: string): void {
    if (this.isClosed) return;
    const {logger, token, onFenced} = this.options;
    logger.warn('a worker follows a higher token', {worker: workerId, token});
    this.close();
    onFenced();
  }

  /** Decides again once in this turn of the event loop. */
  private pumpSoon(): void {
    if (this.isPumpDue) return;
    this.isPumpDue = true;
    setImmediate(() => {
      this.isPumpDue = false;
      this.pump();
    });
  }

  private pump(): void {
    if (this.isClosed) return;
    this.carryOutAll(this.dispatcher.tick(readClock()));
    this.tellEnds();
  }

  private tellEnds(): void {
    for (const ended of this.dispatcher.takeEnded()) {
      this.foreign.forget(ended.id);
      this.jobs.tellEnd(ended, readClock());
    }
  }

  private carryOutAll(orders: readonly Command[]): void {
    const now = readClock();
    const basis = {
      listAgeMs: findListingAge(this.listing, now),
      heldMs: now - this.heldSince,
    };
    logPlacements(orders, this.dispatcher, basis, this.options.logger);
    for (const order of orders) void this.carryOut(order);
  }

  private async carryOut(order: Command): Promise<void> {
    switch (order.kind) {
      case 'start':
        return this.carrier.start(order);
      case 'stop':
        return this.carrier.stop(order);
      case 'lend':
        return this.lender.lend(order);
      case 'recall':
        return this.lender.recall(order);
    }
  }
}
