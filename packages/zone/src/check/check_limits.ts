/** Finds times and sizes that contradict each other. */
import type {CallerLimits} from '../ports/index.js';
import type {CandidateQueue} from './candidate.js';
import {
  atLimit,
  atQueue,
  createFinding,
  FindingCode,
  type Finding,
} from './finding.js';

/** Timers of Node.js with a longer time end after 1 ms. */
const LONGEST_TIME_MS = 2 ** 31 - 1;

/** What the program accepts, whatever the configuration says. */
export interface ProgramLimits {
  readonly maxHeaderBytes: number;
}

/** Checks the times of one queue. */
export function checkTimes({index, queue}: CandidateQueue): Finding[] {
  const {timeoutMs, targetMs, stretch, maxAttempts} = queue;
  const findings: Finding[] = [];
  const find = (
    code: FindingCode,
    field: 'timeoutMs' | 'targetMs' | 'stretch' | 'maxAttempts',
    against: readonly number[],
  ) => {
    const place = atQueue(index, field);
    findings.push(createFinding(code, place, queue[field], against));
  };
  if (timeoutMs > LONGEST_TIME_MS)
    find(FindingCode.TimeTooLong, 'timeoutMs', [LONGEST_TIME_MS]);
  if (targetMs >= timeoutMs)
    find(FindingCode.TargetNotBelowTimeout, 'targetMs', [timeoutMs]);
  if (stretch < 1) find(FindingCode.StretchBelowOne, 'stretch', [1]);
  // Each attempt has the overhead of a run that the target allows for.
  const needMs = maxAttempts * targetMs;
  if (maxAttempts > 1 && targetMs < timeoutMs && needMs > timeoutMs)
    find(FindingCode.AttemptsDontFit, 'maxAttempts', [targetMs, timeoutMs]);
  return findings;
}

/** Checks the limits on requests, against each other and the program's. */
export function checkLimits(
  limits: CallerLimits,
  program: ProgramLimits,
): Finding[] {
  const findings: Finding[] = [];
  const find = (
    code: FindingCode,
    field: keyof CallerLimits,
    against: readonly unknown[],
    other?: keyof CallerLimits,
  ) => {
    const others = other === undefined ? [] : [atLimit(other)];
    const place = atLimit(field);
    findings.push(createFinding(code, place, limits[field], against, others));
  };
  const {maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs} = limits;
  if (maxHeaderBytes > program.maxHeaderBytes) {
    const {HeadersAboveProgram} = FindingCode;
    find(HeadersAboveProgram, 'maxHeaderBytes', [program.maxHeaderBytes]);
  }
  if (maxBodyBytes < 1) find(FindingCode.BodyBelowOneByte, 'maxBodyBytes', []);
  if (maxHeaderBytes > maxBodyBytes) {
    const against = [maxBodyBytes];
    const {HeadersAboveBody} = FindingCode;
    find(HeadersAboveBody, 'maxHeaderBytes', against, 'maxBodyBytes');
  }
  for (const field of ['headerTimeoutMs', 'idleTimeoutMs'] as const) {
    if (limits[field] > LONGEST_TIME_MS)
      find(FindingCode.TimeTooLong, field, [LONGEST_TIME_MS]);
  }
  if (headerTimeoutMs > idleTimeoutMs) {
    const against = [idleTimeoutMs];
    const {HeaderTimeoutAboveIdle} = FindingCode;
    find(HeaderTimeoutAboveIdle, 'headerTimeoutMs', against, 'idleTimeoutMs');
  }
  return findings;
}
