/** Delegates tasks to the holders of other zones and tracks their runs. */
import {
  RunEnd,
  RunPhase,
  type JobProgress,
  type DelegateCommand,
  type RecallCommand,
  type Run,
} from '@goldcrestpier/dispatch';
import {NotSentReason, PeerFailureKind} from '@goldcrestpier/peers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, type Result} from 'ts-results-es';
import type {ZoneMetrics} from '../metrics/index.js';
import type {
  JobAnswer,
  DelegationAnswer,
  ZoneCallFailure,
} from '../protocol/index.js';
import type {DelegationDiscoveryOptions} from './delegation_discovery.js';
import {updateZoneVacancies} from './free_capacity.js';
import {toSubmission} from './job_conversion.js';
import {nameRecallFailure} from './recall_failure.js';
import {OriginalRequest, type Reattachment} from './reattachment.js';

/** Added to a task's remaining time to send back its answer, in ms. */
const ANSWER_MARGIN_MS = 500;
/**
 * The same for a reattachment, in ms: a holder that has just claimed answers
 * when all runs of its predecessors have ended.
 */
const REATTACH_ANSWER_MARGIN_MS = 2_000;
const RECALL_TIMEOUT_MS = 500;
/** Pause before the recall of a lost task is retried, in ms. */
const RECALL_RETRY_MS = 200;
/** Attempts to reattach to a run, and the pause between them in ms. */
const REATTACH_ATTEMPTS = 5;
const REATTACH_INTERVAL_MS = 80;

/** Dependencies of a task delegator. */
export interface TaskDelegatorOptions extends DelegationDiscoveryOptions {
  readonly metrics: ZoneMetrics;
  /** Whether this instance is still the holder. */
  readonly isActive: () => boolean;
}

/** Delegates tasks of one dispatcher to the holders of other zones. */
export class TaskDelegator {
  constructor(private readonly options: TaskDelegatorOptions) {}

  /** Delegates one task and waits until its run has ended. */
  async delegate(command: DelegateCommand): Promise<void> {
    if (command.isAdopted) {
      const original = OriginalRequest.Settled;
      await this.reattach(command, {original, reason: 'adopted'});
    } else await this.sendDelegation(command);
    this.options.onChange();
  }

  private async sendDelegation(command: DelegateCommand): Promise<void> {
    const result = await this.request(command, {isJoin: false});
    if (result.isOk()) await this.handleDelegationAnswer(command, result.value);
    else if (result.error.kind === PeerFailureKind.NotSent) {
      this.markRefused(command.run);
    } else {
      const original = OriginalRequest.MayArrive;
      await this.reattach(command, {original, reason: result.error.kind});
    }
  }

  private async request(
    {zone, run, record}: DelegateCommand,
    reattachment: {isJoin: boolean; progress?: JobProgress | undefined},
  ): Promise<Result<DelegationAnswer, ZoneCallFailure>> {
    const client = this.options.findZoneClient(zone);
    const task = record.findTask(run.key);
    if (client === undefined || task === undefined) {
      const reason = NotSentReason.Disconnected;
      return Err({kind: PeerFailureKind.NotSent, reason});
    }
    const {zone: homeZone, token} = this.options;
    const {step, index} = task.name;
    const submission = toSubmission(record.job, homeZone, false, readClock());
    const job = {...submission, steps: [{...task.step, tasks: 1, after: []}]};
    const message = {
      homeZone,
      token,
      job,
      step,
      index,
      run: run.number,
      ...reattachment,
    };
    const timeoutMs = reattachment.isJoin
      ? Math.max(job.remainingMs, 0) + REATTACH_ANSWER_MARGIN_MS
      : job.remainingMs + ANSWER_MARGIN_MS;
    const result = await client.delegateTask(message, timeoutMs);
    // Whether the task may be started again depends on what happened there.
    if (result.isOk()) this.options.history.merge(result.value, readClock());
    return result;
  }

  /**
   * Reattaches to a run that was delegated to the zone's holder or an earlier
   * one. The zone answers that a run was abandoned only when every run from
   * before the answer has ended, so that the task may start again unless its
   * original request may still arrive. A refusal means that this zone has a
   * later holder, which may have delegated the task.
   */
  private async reattach(
    command: DelegateCommand,
    {original, progress, reason}: Reattachment,
  ): Promise<void> {
    let latestProgress = progress;
    for (let attempt = 0; attempt < REATTACH_ATTEMPTS; attempt += 1) {
      // A task that was recalled could be started again by this request.
      if (command.record.pendingOutcome !== undefined) break;
      const result = await this.request(command, {
        isJoin: true,
        progress: latestProgress,
      });
      const answer = result.isOk() ? result.value.answer : undefined;
      switch (answer?.kind) {
        case 'completed':
        case 'failed':
          return this.handleAnswer(command, answer);
        case 'abandoned':
          return original === OriginalRequest.Settled
            ? this.handleAnswer(command, answer)
            : this.abandonRun(command.run, reason);
        case 'refused':
          return this.abandonRun(command.run, reason);
        case 'not_holder':
          latestProgress = answer.progress ?? latestProgress;
          break;
        case undefined:
      }
      await sleep(REATTACH_INTERVAL_MS);
    }
    return this.abandonRun(command.run, reason);
  }

  /** Marks a run as lost and recalls it, as it may still be running. */
  private abandonRun(run: Run, reason: string): void {
    // The next holder of this zone takes care of it.
    if (!this.options.isActive()) return;
    // It is already being recalled, or it has ended meanwhile.
    if (run.phase === RunPhase.StopAccepted || !this.isActive(run)) return;
    this.markLost(run, reason);
    void this.recallUntilAccepted(run);
  }

  /** Whether the run is still the one of its task. */
  private isActive(run: Run): boolean {
    const record = this.options.dispatcher.jobs.get(run.recordId);
    const state = record?.findTask(run.key)?.state;
    return state?.kind === 'running' && state.run === run;
  }

  /** Retries until the zone accepts the recall or the run has ended. */
  private async recallUntilAccepted(run: Run): Promise<void> {
    while (readClock() < run.latestEndAt && this.isActive(run)) {
      if (await this.sendRecall(run.workerId, run.key, run.number)) return;
      await sleep(RECALL_RETRY_MS);
    }
  }

  /**
   * Recalls a delegated task. If the zone accepts that, the pending delegation
   * call returns how the run ended. The dispatcher repeats the recall of a run
   * that no job has claimed.
   */
  async recall({zone, key, runNumber, run}: RecallCommand): Promise<void> {
    const isAccepted = await this.sendRecall(zone, key, runNumber);
    if (!isAccepted && run !== undefined) this.abandonRun(run, 'recall_failed');
  }

  private async sendRecall(
    zone: string,
    task: string,
    run: number,
  ): Promise<boolean> {
    const client = this.options.findZoneClient(zone);
    const {zone: homeZone, token} = this.options;
    const message = {homeZone, token, task, run};
    const result = await client?.recall(message, RECALL_TIMEOUT_MS);
    if (result?.isOk() === true && result.value) return true;
    this.options.metrics.failedRecalls.inc({reason: nameRecallFailure(result)});
    return false;
  }

  private async handleDelegationAnswer(
    command: DelegateCommand,
    {answer, rooms}: DelegationAnswer,
  ): Promise<void> {
    await this.handleAnswer(command, answer);
    const {zone} = command;
    updateZoneVacancies(this.options.dispatcher, {zone, rooms}, readClock());
  }

  private async handleAnswer(
    command: DelegateCommand,
    answer: JobAnswer,
  ): Promise<void> {
    const {dispatcher, metrics} = this.options;
    const {run} = command;
    const now = readClock();
    metrics.delegations.inc({outcome: answer.kind});
    switch (answer.kind) {
      case 'completed':
        return dispatcher.handleDelegatedEnd(run, RunEnd.Done, now);
      case 'failed':
        return dispatcher.handleDelegatedEnd(run, RunEnd.Failed, now);
      case 'refused':
        return this.markRefused(run);
      case 'abandoned':
        return dispatcher.handleDelegatedEnd(run, RunEnd.Stopped, now);
      case 'not_holder':
        if (!answer.mayHaveStarted) return this.markRefused(run);
        return this.reattach(command, {
          original: OriginalRequest.Settled,
          progress: answer.progress,
          reason: answer.kind,
        });
    }
  }

  private markRefused(run: Run): void {
    this.options.dispatcher.handleDelegatedEnd(run, 'refused', readClock());
  }

  private markLost(run: Run, reason: string): void {
    const {dispatcher, logger, metrics} = this.options;
    metrics.delegations.inc({outcome: 'lost'});
    const {key: task, workerId: zone} = run;
    logger.warn('delegated task lost', {task, zone, reason});
    dispatcher.handleDelegateLost(run, readClock());
  }
}
