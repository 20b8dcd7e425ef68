/** Checks that callers are answered for their own requests. */
import {AbandonReason} from '@goldcrestpier/dispatch';
import type {OwnerAnswer} from '../../src/owner/index.js';
import type {Timeline} from './timeline.js';

/** How far back the timeline of a violation goes, in ms. */
const TIMELINE_WINDOW_MS = 8_000;
/** Reasons that no caller is told that waits and whose job nobody cancelled. */
const reasonsOfOthers: readonly AbandonReason[] = [
  AbandonReason.Cancelled,
  AbandonReason.CallerLeft,
  AbandonReason.Recalled,
];

/** An answer that is not its caller's, or a start after a refusal. */
export interface WrongAnswer {
  readonly text: string;
  readonly timeline: string;
}

interface CheckedJob {
  requests: number;
  refusals: number;
  isCancelled: boolean;
  hasChangedZone: boolean;
}

/** Receives requests, answers and starts. */
export class AnswerChecker {
  readonly violations: WrongAnswer[] = [];
  /** Number of jobs that their callers left and sent again at once. */
  returnCount = 0;
  /** Number of answers to callers that waited for them. */
  answerCount = 0;
  private readonly jobs = new Map<string, CheckedJob>();

  constructor(private readonly timeline: Timeline) {}

  /** Records that a request is sent. */
  recordRequest(jobId: string): void {
    this.findJob(jobId).requests += 1;
  }

  /** Records that a request to cancel the job is sent. */
  recordCancellation(jobId: string): void {
    this.timeline.add('caller', `cancels ${jobId}`);
    this.findJob(jobId).isCancelled = true;
  }

  /** Records that a caller left and sends its job again at once. */
  recordReturn(jobId: string, isOtherZone: boolean): void {
    this.returnCount += 1;
    if (isOtherZone) this.findJob(jobId).hasChangedZone = true;
  }

  /** Records what an instance answers to a request. */
  recordAnswer(jobId: string, {kind}: OwnerAnswer): void {
    if (kind === 'refused') this.findJob(jobId).refusals += 1;
  }

  /** Records an answer that its caller receives. */
  recordReceived(jobId: string, answer: OwnerAnswer): void {
    this.answerCount += 1;
    if (answer.kind !== 'abandoned') return;
    const {reason} = answer;
    const {isCancelled} = this.findJob(jobId);
    if (isCancelled || !reasonsOfOthers.includes(reason)) return;
    this.report(jobId, `${jobId}: its caller waits and is told ${reason}`);
  }

  /** Records the start of a task. */
  recordStart(task: string): void {
    const [jobId = ''] = task.split('.');
    const {requests, refusals} = this.findJob(jobId);
    if (refusals === 0 || refusals < requests) return;
    this.report(jobId, `${task}: starts, though each request was refused`);
  }

  /** Whether a job was sent again at once to another zone. */
  hasChangedZone(jobId: string): boolean {
    return this.findJob(jobId).hasChangedZone;
  }

  private findJob(jobId: string): CheckedJob {
    const known = this.jobs.get(jobId);
    if (known !== undefined) return known;
    const flags = {isCancelled: false, hasChangedZone: false};
    const job = {requests: 0, refusals: 0, ...flags};
    this.jobs.set(jobId, job);
    return job;
  }

  private report(jobId: string, text: string): void {
    this.timeline.add('checker', `violation: ${text}`);
    const from = this.timeline.now - TIMELINE_WINDOW_MS;
    this.violations.push({text, timeline: this.timeline.format(jobId, from)});
  }
}
