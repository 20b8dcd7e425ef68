/** Creates the record of a run that is about to start or has been found. */
import type {Millis} from '@goldcrestpier/runtime';
import {RunProgress} from '../../work_estimates/index.js';
import {RunPhase, type Run} from '../../workers/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';

/** Creates a run of a task, with the next run number by default. */
export function createRun(
  record: JobRecord,
  task: TaskRecord,
  workerId: string,
  expectedMs: Millis,
  now: Millis,
  number = task.lastRun + 1,
): Run {
  return {
    recordId: record.id,
    key: task.key,
    number: number,
    workerId,
    need: task.step.need,
    isBoundToKind: task.step.requiredLabel !== undefined,
    startedAt: now,
    expectedMs,
    expectedEndAt: now + expectedMs,
    recheckAt: Infinity,
    judgeAt: now,
    progress: new RunProgress(),
    phase: RunPhase.Starting,
    isShared: false,
    isIsolated: false,
    isStartRefused: false,
    workerBornAt: 0,
    delegatedTo: undefined,
    confirmedAt: Infinity,
    startUnansweredAt: Infinity,
    stopSentAt: -Infinity,
    latestEndAt: Infinity,
  };
}
