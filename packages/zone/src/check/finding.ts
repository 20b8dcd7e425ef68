/** What a check of a configuration finds. */
import type {CallerLimits, Queue} from '../ports/index.js';

/** How serious a finding is. */
export enum Severity {
  /** Jobs would be refused or misrouted, or the configuration ignored. */
  Error = 'error',
  /** Probably unintended, but served as written. */
  Warning = 'warning',
}

/** Kinds of findings; each has one severity. */
export enum FindingCode {
  VersionNotAbove = 'version_not_above',
  VersionNotInteger = 'version_not_integer',
  NoQueues = 'no_queues',
  DuplicateName = 'duplicate_name',
  EmptyName = 'empty_name',
  EmptyService = 'empty_service',
  EmptyHost = 'empty_host',
  UnmatchableHost = 'unmatchable_host',
  UnmatchablePrefix = 'unmatchable_prefix',
  PrefixWithoutIds = 'prefix_without_ids',
  PrefixWithoutSeparator = 'prefix_without_separator',
  PrefixNotEncoded = 'prefix_not_encoded',
  SameMatch = 'same_match',
  AllJobsTaken = 'all_jobs_taken',
  SomeJobsTaken = 'some_jobs_taken',
  TimeTooLong = 'time_too_long',
  TargetNotBelowTimeout = 'target_not_below_timeout',
  StretchBelowOne = 'stretch_below_one',
  AttemptsDontFit = 'attempts_dont_fit',
  HeadersAboveProgram = 'headers_above_program',
  HeadersAboveBody = 'headers_above_body',
  BodyBelowOneByte = 'body_below_one_byte',
  HeaderTimeoutAboveIdle = 'header_timeout_above_idle',
  ServiceUnused = 'service_unused',
  ServiceNotListed = 'service_not_listed',
  ServiceTwice = 'service_twice',
}

/** The part of a configuration that a finding is about. */
export type Place =
  | {readonly kind: 'version'}
  | {readonly kind: 'queues'}
  | {
      readonly kind: 'queue';
      readonly index: number;
      readonly field: keyof Queue;
    }
  | {readonly kind: 'service'; readonly index: number}
  | {readonly kind: 'limit'; readonly field: keyof CallerLimits};

/** One finding. */
export interface Finding {
  readonly code: FindingCode;
  readonly place: Place;
  readonly found: unknown;
  /** The values or entries that the found value conflicts with. */
  readonly against: readonly unknown[];
  /** Places of `against`, where these are in the configuration. */
  readonly others: readonly Place[];
}

/** Returns the severity of a kind of finding. */
export function getSeverity(code: FindingCode): Severity {
  switch (code) {
    case FindingCode.VersionNotAbove:
    case FindingCode.EmptyService:
    case FindingCode.EmptyHost:
    case FindingCode.UnmatchableHost:
    case FindingCode.UnmatchablePrefix:
    case FindingCode.PrefixWithoutIds:
    case FindingCode.SameMatch:
    case FindingCode.AllJobsTaken:
    case FindingCode.SomeJobsTaken:
    case FindingCode.TimeTooLong:
    case FindingCode.TargetNotBelowTimeout:
    case FindingCode.StretchBelowOne:
    case FindingCode.HeadersAboveProgram:
    case FindingCode.BodyBelowOneByte:
      return Severity.Error;
    case FindingCode.VersionNotInteger:
    case FindingCode.NoQueues:
    case FindingCode.DuplicateName:
    case FindingCode.EmptyName:
    case FindingCode.PrefixWithoutSeparator:
    case FindingCode.PrefixNotEncoded:
    case FindingCode.AttemptsDontFit:
    case FindingCode.HeadersAboveBody:
    case FindingCode.HeaderTimeoutAboveIdle:
    case FindingCode.ServiceUnused:
    case FindingCode.ServiceNotListed:
    case FindingCode.ServiceTwice:
      return Severity.Warning;
  }
}

/** Creates a finding; `others` are the places of conflicting values. */
export function createFinding(
  code: FindingCode,
  place: Place,
  found: unknown,
  against: readonly unknown[] = [],
  others: readonly Place[] = [],
): Finding {
  return {code, place, found, against, others};
}

/** Returns the place of a field of a queue. */
export function atQueue(index: number, field: keyof Queue): Place {
  return {kind: 'queue', index, field};
}

/** Returns the place of a limit. */
export function atLimit(field: keyof CallerLimits): Place {
  return {kind: 'limit', field};
}
