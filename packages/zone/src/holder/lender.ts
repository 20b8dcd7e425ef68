/** Lends tasks to the holders of other zones, and asks how their runs ended. */
import {
  RunEnd,
  type Dispatcher,
  type JobProgress,
  type DelegateCommand,
  type RecallCommand,
  type Run,
} from '@goldcrestpier/dispatch';
import {NotSentReason, PeerFailureKind} from '@goldcrestpier/peers';
import {readClock, sleep, type Logger} from '@goldcrestpier/runtime';
import {Err, type Result} from 'ts-results-es';
import type {ZoneMetrics} from '../metrics/index.js';
import type {
  JobAnswer,
  LentAnswer,
  ZoneCallFailure,
  ZoneCalls,
} from '../protocol/index.js';
import {toRoom} from './rooms.js';
import {toSubmission} from './to_job.js';

/** How long other zones are asked what they run for this one, in ms. */
const SURVEY_TIMEOUT_MS = 400;
/** How often a zone is asked, and after which pause again, in ms. */
const SURVEY_TRIES = 20;
const SURVEY_PAUSE_MS = 100;
/** Added to a task's time for the answer to come back, in ms. */
const ANSWER_MARGIN_MS = 500;
const RECALL_TIMEOUT_MS = 500;
/** Pause before a lost task is taken back again, in ms. */
const RECALL_PAUSE_MS = 200;
/** How often, and after which pause, the next holder is asked, in ms. */
const REJOIN_TRIES = 5;
const REJOIN_PAUSE_MS = 80;

/** The calls of another zone's holder; undefined when it can't be reached. */
export type FindZone = (zone: string) => ZoneCalls | undefined;

/** What a lender needs. */
export interface LenderOptions {
  readonly zone: string;
  readonly token: number;
  readonly dispatcher: Dispatcher;
  readonly findZone: FindZone;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly onChange: () => void;
}

/** Speaks with other holders for one dispatcher. */
export class Lender {
  constructor(private readonly options: LenderOptions) {}

  /** Finds the tasks that an earlier holder of this zone has lent. */
  async survey(zones: readonly string[]): Promise<void> {
    const {dispatcher, onChange} = this.options;
    dispatcher.expectDelegationReports(zones);
    await Promise.all(zones.map(zone => this.surveyZone(zone)));
    onChange();
  }

  /** Lends one task and waits for the end of its run. */
  async lend(command: DelegateCommand): Promise<void> {
    if (command.isAdopted) await this.rejoin(command, undefined, 'adopted');
    else await this.lendAnew(command);
    this.options.onChange();
  }

  private async lendAnew(command: DelegateCommand): Promise<void> {
    const result = await this.ask(command, {isJoin: false});
    if (result.isOk()) await this.takeLentAnswer(command, result.value);
    else if (result.error.kind === PeerFailureKind.NotSent) {
      this.refuse(command.run);
    } else await this.rejoin(command, undefined, result.error.kind);
  }

  private async ask(
    {zone, run, record}: DelegateCommand,
    past: {isJoin: boolean; progress?: JobProgress | undefined},
  ): Promise<Result<LentAnswer, ZoneCallFailure>> {
    const calls = this.options.findZone(zone);
    const task = record.findTask(run.key);
    if (calls === undefined || task === undefined) {
      const reason = NotSentReason.Disconnected;
      return Err({kind: PeerFailureKind.NotSent, reason});
    }
    const {zone: homeZone, token} = this.options;
    const {step, index} = task.name;
    const whole = toSubmission(record.job, homeZone, false, readClock());
    const job = {...whole, steps: [{...task.step, tasks: 1, after: []}]};
    const message = {homeZone, token, job, step, index, run: run.run, ...past};
    return calls.lend(message, job.remainingMs + ANSWER_MARGIN_MS);
  }

  /**
   * Asks the zone's holder for a run that it, or one before it, was lent. No
   * answer but the end of the run says that it is over.
   */
  private async rejoin(
    command: DelegateCommand,
    progress: JobProgress | undefined,
    reason: string,
  ): Promise<void> {
    let known = progress;
    for (let tries = 0; tries < REJOIN_TRIES; tries += 1) {
      const result = await this.ask(command, {isJoin: true, progress: known});
      const answer = result.isOk() ? result.value.answer : undefined;
      switch (answer?.kind) {
        case 'completed':
        case 'failed':
          return this.takeAnswer(command, answer);
        case 'abandoned':
        case 'refused':
          return this.giveUp(command.run, reason);
        case 'not_holder':
          known = answer.progress ?? known;
          break;
        case undefined:
      }
      await sleep(REJOIN_PAUSE_MS);
    }
    return this.giveUp(command.run, reason);
  }

  /** Counts a run as lost, and has it stopped where it may go on. */
  private giveUp(run: Run, reason: string): void {
    this.lose(run, reason);
    void this.takeBack(run);
  }

  /** Goes on until the zone takes the word, or the run is over anyway. */
  private async takeBack(run: Run): Promise<void> {
    while (readClock() < run.latestEndAt) {
      if (await this.sendRecall(run.workerId, run.key)) return;
      await sleep(RECALL_PAUSE_MS);
    }
  }

  /** Takes a lent task back. */
  async recall({zone, key, run}: RecallCommand): Promise<void> {
    const isTaken = await this.sendRecall(zone, key);
    // The end of the run answers the call that lent it.
    if (!isTaken && run !== undefined) this.lose(run, 'recall_failed');
  }

  private async sendRecall(zone: string, task: string): Promise<boolean> {
    const calls = this.options.findZone(zone);
    const {zone: homeZone, token} = this.options;
    const message = {homeZone, token, task};
    const result = await calls?.recall(message, RECALL_TIMEOUT_MS);
    return result?.isOk() === true && result.value;
  }

  private async surveyZone(zone: string): Promise<void> {
    const {dispatcher, findZone, logger} = this.options;
    for (let tries = 0; tries < SURVEY_TRIES; tries += 1) {
      const calls = findZone(zone);
      const {zone: homeZone, token} = this.options;
      const question = {homeZone, token};
      const result = await calls?.listLent(question, SURVEY_TIMEOUT_MS);
      if (result?.isOk() === true) {
        const {tasks, isComplete} = result.value;
        dispatcher.handleDelegationReport(zone, result.value, readClock());
        logger.info('zone surveyed', {zone, lent: tasks.length, isComplete});
        this.options.onChange();
        if (isComplete) return;
      }
      await sleep(SURVEY_PAUSE_MS);
    }
    logger.warn('zone not surveyed', {zone});
  }

  private async takeLentAnswer(
    command: DelegateCommand,
    {answer, rooms = []}: LentAnswer,
  ): Promise<void> {
    await this.takeAnswer(command, answer);
    const {dispatcher} = this.options;
    const now = readClock();
    for (const room of rooms) {
      dispatcher.updateZoneVacancies(toRoom(command.zone, room), now);
    }
  }

  private async takeAnswer(
    command: DelegateCommand,
    answer: JobAnswer,
  ): Promise<void> {
    const {dispatcher, metrics} = this.options;
    const {run} = command;
    const now = readClock();
    metrics.lent.inc({outcome: answer.kind});
    switch (answer.kind) {
      case 'completed':
        return dispatcher.handleDelegatedEnd(run, RunEnd.Done, now);
      case 'failed':
        return dispatcher.handleDelegatedEnd(run, RunEnd.Failed, now);
      case 'refused':
        return this.refuse(run);
      case 'abandoned':
        return dispatcher.handleDelegatedEnd(run, RunEnd.Stopped, now);
      case 'not_holder':
        if (!answer.mayHaveStarted) return this.refuse(run);
        return this.rejoin(command, answer.progress, answer.kind);
    }
  }

  private refuse(run: Run): void {
    this.options.dispatcher.handleDelegatedEnd(run, 'refused', readClock());
  }

  private lose(run: Run, reason: string): void {
    const {dispatcher, logger, metrics} = this.options;
    metrics.lent.inc({outcome: 'lost'});
    const {key: task, workerId: zone} = run;
    logger.warn('lent task lost', {task, zone, reason});
    dispatcher.handleDelegateLost(run, readClock());
  }
}
