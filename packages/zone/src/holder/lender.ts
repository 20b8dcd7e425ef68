/** Lends tasks to the holders of other zones, and asks how their runs ended. */
import {
  RunEnd,
  type Dispatcher,
  type LendCommand,
  type RecallCommand,
  type Run,
} from '@goldcrestpier/dispatch';
import {PeerFailureKind} from '@goldcrestpier/peers';
import {readClock, type Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {JobAnswer, ZoneCallFailure, ZoneCalls} from '../protocol/index.js';
import {toSubmission} from './to_job.js';

/** How long other zones are asked what they run for this one, in ms. */
const SURVEY_TIMEOUT_MS = 400;
/** Added to a task's time for the answer to come back, in ms. */
const ANSWER_MARGIN_MS = 500;
const RECALL_TIMEOUT_MS = 500;

/** The calls of another zone's holder; undefined when it can't be reached. */
export type FindZone = (zone: string) => ZoneCalls | undefined;

/** What a lender needs. */
export interface LenderOptions {
  readonly zone: string;
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
    dispatcher.expectLent(zones);
    await Promise.all(zones.map(zone => this.surveyZone(zone)));
    onChange();
  }

  /** Lends one task and waits for the end of its run. */
  async lend({zone, run, record, isAdopted}: LendCommand): Promise<void> {
    const {dispatcher, findZone, onChange} = this.options;
    const calls = findZone(zone);
    if (calls === undefined) {
      dispatcher.lentEnded(run, 'refused', readClock());
      onChange();
      return;
    }
    const task = record.findTask(run.key);
    if (task === undefined) return;
    const {step, index} = task.name;
    const now = readClock();
    const whole = toSubmission(record.job, this.options.zone, false, now);
    const job = {...whole, steps: [{...task.step, tasks: 1, after: []}]};
    const result = await calls.lend(
      {
        homeZone: this.options.zone,
        job,
        step,
        index,
        run: run.run,
        isJoin: isAdopted,
      },
      job.remainingMs + ANSWER_MARGIN_MS,
    );
    if (result.isOk()) this.takeAnswer(run, result.value);
    else this.takeFailure(run, result.error.kind);
    onChange();
  }

  /** Takes a lent task back. */
  async recall({zone, run}: RecallCommand): Promise<void> {
    const calls = this.options.findZone(zone);
    const message = {homeZone: this.options.zone, task: run.key};
    const result = await calls?.recall(message, RECALL_TIMEOUT_MS);
    // The end of the run answers the call that lent it.
    if (result?.isOk() !== true) this.lose(run, 'recall_failed');
  }

  private async surveyZone(zone: string): Promise<void> {
    const {dispatcher, findZone, logger} = this.options;
    const calls = findZone(zone);
    const result = await calls?.listLent(this.options.zone, SURVEY_TIMEOUT_MS);
    if (result?.isOk() !== true) {
      logger.warn('zone not surveyed', {zone});
      return;
    }
    dispatcher.noteLent(zone, result.value);
    logger.info('zone surveyed', {zone, lent: result.value.length});
  }

  private takeAnswer(run: Run, answer: JobAnswer): void {
    const {dispatcher, metrics} = this.options;
    const now = readClock();
    metrics.lent.inc({outcome: answer.kind});
    switch (answer.kind) {
      case 'completed':
        return dispatcher.lentEnded(run, RunEnd.Done, now);
      case 'failed':
        return dispatcher.lentEnded(run, RunEnd.Failed, now);
      case 'refused':
        return dispatcher.lentEnded(run, 'refused', now);
      case 'abandoned':
        return dispatcher.lentEnded(run, RunEnd.Stopped, now);
      case 'not_holder':
        if (answer.mayHaveStarted) return this.lose(run, answer.kind);
        return dispatcher.lentEnded(run, 'refused', now);
    }
  }

  private takeFailure(run: Run, kind: ZoneCallFailure['kind']): void {
    if (kind === PeerFailureKind.NotSent) {
      this.options.dispatcher.lentEnded(run, 'refused', readClock());
    } else {
      this.lose(run, kind);
    }
  }

  private lose(run: Run, reason: string): void {
    const {dispatcher, logger, metrics} = this.options;
    metrics.lent.inc({outcome: 'lost'});
    const {key: task, workerId: zone} = run;
    logger.warn('lent task lost', {task, zone, reason});
    dispatcher.lentLost(run, readClock());
  }
}
