/** Checks a configuration before the operators send it. */
import type {Candidate} from './candidate.js';
import {checkLimits, checkTimes, type ProgramLimits} from './check_limits.js';
import {checkMatching} from './check_matching.js';
import {checkQueueNames, checkServices} from './check_names.js';
import {createFinding, FindingCode, type Finding} from './finding.js';

/** Checks what could be decoded of a configuration. */
export function checkConfiguration(
  candidate: Candidate,
  versionInForce: number | undefined,
  program: ProgramLimits,
): Finding[] {
  const {version, queues, limits, lacksQueues} = candidate;
  const isEmpty = queues.length === 0 && !lacksQueues;
  const {NoQueues} = FindingCode;
  return [
    ...checkVersion(version, versionInForce),
    ...(isEmpty ? [createFinding(NoQueues, {kind: 'queues'}, [])] : []),
    ...checkQueueNames(candidate),
    ...checkMatching(queues),
    ...queues.flatMap(checkTimes),
    ...checkServices(candidate),
    ...(limits === undefined ? [] : checkLimits(limits, program)),
  ];
}

function checkVersion(
  version: number | undefined,
  inForce: number | undefined,
): Finding[] {
  if (version === undefined) return [];
  const findings: Finding[] = [];
  const place = {kind: 'version'} as const;
  const {VersionNotInteger, VersionNotAbove} = FindingCode;
  if (!Number.isSafeInteger(version))
    findings.push(createFinding(VersionNotInteger, place, version));
  // Instances ignore a version that is not above the one that they have.
  if (inForce !== undefined && version <= inForce)
    findings.push(createFinding(VersionNotAbove, place, version, [inForce]));
  return findings;
}
