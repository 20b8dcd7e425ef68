/**
 * The operators' settings. One schema defines validation, defaults and types.
 * A node stores only the values it overrides and inherits all others.
 */
import {nameSchema} from '@goldcrestpier/protocol';
import {LogLevel, LogPart} from '@goldcrestpier/runtime';
import {z} from 'zod';

const share = z
  .number('expected a number')
  .min(0, 'expected 0 or more')
  .max(1, 'expected 1 or less');
const millis = z
  .number('expected a number of milliseconds')
  .int('expected whole milliseconds')
  .min(1, 'expected 1 or more');
const count = z
  .number('expected a number')
  .int('expected a whole number')
  .min(0, 'expected 0 or more');
const positive = z.number('expected a number').positive('expected more than 0');

/** Kinds of tree nodes. */
export enum NodeKind {
  Group = 'group',
  /** A service run by runners; the last part of the path is its name. */
  Service = 'service',
  /** Settings of the guarded workers. */
  Workers = 'workers',
}

/** Policies that place tasks on servers; all but `holding` are baselines. */
export enum PolicyKind {
  Holding = 'holding',
  Random = 'random',
  RoundRobin = 'round-robin',
  FewestInFlight = 'fewest-in-flight',
  TwoChoices = 'two-choices',
}

/** Schema of all settings of a node, with their defaults. */
export const effectiveSettingsSchema = z.strictObject({
  queue: z
    .strictObject({
      /** Maximum number of tasks queued at one instance for one pool. */
      maxWaiting: count.default(20_000),
    })
    .prefault({}),
  admission: z
    .strictObject({
      /** Whether jobs estimated to miss their deadline are rejected at once. */
      byEstimate: z.boolean('expected true or false').default(true),
    })
    .prefault({}),
  fairness: z
    .strictObject({
      /** Each team's share relative to other teams; 1 for teams not listed. */
      weights: z.record(nameSchema, positive).default({}),
      /** Maximum tasks per team at one instance; unlimited if not listed. */
      quotas: z.record(nameSchema, count).default({}),
    })
    .prefault({}),
  retry: z
    .strictObject({
      /** Retry budget as a share of first attempts. */
      budgetShare: share.default(0.1),
      /** Maximum attempts of one repeatable task, including the first. */
      maxStarts: count.min(1, 'expected 1 or more').default(3),
    })
    .prefault({}),
  hedge: z
    .strictObject({
      enabled: z.boolean('expected true or false').default(false),
      /** Percentile of run times after which a slow task is hedged. */
      percentile: share.default(0.95),
      /** Hedging budget as a share of first attempts. */
      budgetShare: share.default(0.05),
    })
    .prefault({}),
  ejection: z
    .strictObject({
      /** Consecutive failures after which a server is ejected. */
      failures: count.min(1, 'expected 1 or more').default(5),
      /** Duration of the first ejection; doubles with each consecutive one. */
      baseMs: millis.default(2_000),
      maxMs: millis.default(60_000),
      /** Maximum share of a zone's servers ejected at the same time. */
      maxShare: share.default(0.34),
    })
    .prefault({}),
  placement: z
    .strictObject({
      policy: z
        .enum(PolicyKind, 'expected the name of a policy')
        .default(PolicyKind.Holding),
      /** How long a grant may remain unused. */
      grantMs: millis.default(2_000),
      /** Shards of a zone's servers in one pool; each shard has one holder. */
      shards: count.min(1, 'expected 1 or more').default(1),
    })
    .prefault({}),
  workers: z
    .strictObject({
      /** Time after which a task's lease expires unless it is renewed. */
      leaseMs: millis.default(10_000),
      /** Interval at which the lease is renewed. */
      renewMs: millis.default(3_000),
    })
    .prefault({}),
  logs: z
    .strictObject({
      /** Log level of each component; `info` for components not listed. */
      levels: z
        .partialRecord(
          z.enum(LogPart),
          z.enum(LogLevel, 'expected debug, info, warn, error or silent'),
        )
        .default({}),
    })
    .prefault({}),
});

/** All settings that apply at one node, including inherited ones. */
export type EffectiveSettings = Readonly<
  z.infer<typeof effectiveSettingsSchema>
>;

/** Settings of a node when no value is overridden. */
export const defaultSettings: EffectiveSettings = effectiveSettingsSchema.parse(
  {},
);
