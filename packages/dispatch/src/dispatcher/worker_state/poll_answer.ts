/** Applies what a poll of a worker has shown, and the leases that it extends. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  WorkerRequestFailure,
  type WorkerRecord,
  type WorkerReport,
} from '../../workers/index.js';
import {
  computeLateRunEnd,
  computeLeaseExpiry,
  type DispatcherOptions,
} from '../options.js';
import type {Registry} from '../registry.js';
import {applyReport} from './worker_reports.js';

/** Records that a command that grants a lease is being sent. */
export function recordLease(
  worker: WorkerRecord,
  {leaseMs}: DispatcherOptions,
  now: Millis,
): void {
  const clockAgeMs = worker.computeClockAge(now);
  const expiresAt = computeLeaseExpiry(now, leaseMs, clockAgeMs);
  worker.leasesExpireAt = Math.max(worker.leasesExpireAt, expiresAt);
}

/** Applies a worker's answer to the poll that was sent at `sentAt`. */
export function applyPollAnswer(
  registry: Registry,
  worker: WorkerRecord,
  report: WorkerReport,
  options: DispatcherOptions,
  sentAt: Millis,
  now: Millis,
): void {
  // Until this poll, an earlier holder may have granted leases there.
  if (!worker.hasAcceptedToken && report.running.length > 0)
    recordLease(worker, options, now);
  applyReport(registry, worker, report, sentAt, now);
}

/** Applies the failure of a poll. */
export function applyPollFailure(
  {crashRecorder}: Registry,
  worker: WorkerRecord,
  failure: WorkerRequestFailure,
  {leaseMs}: DispatcherOptions,
  now: Millis,
): void {
  // Polls of an unresponsive worker extend no lease.
  const mayHaveLease = !worker.isUnresponsive;
  worker.pollFailure = failure;
  switch (failure) {
    case WorkerRequestFailure.Unanswered:
      if (mayHaveLease)
        worker.recordUnansweredLease(computeLateRunEnd(now, leaseMs));
      return;
    case WorkerRequestFailure.OtherIncarnation:
      return crashRecorder.explainLosses(worker, true, now);
    case WorkerRequestFailure.Fenced:
    case WorkerRequestFailure.NotListening:
    case WorkerRequestFailure.Refused:
      return;
  }
}
