/**
 * The operators' settings: one schema gives the checks, the defaults and the
 * types. A node holds only what it overrides; the rest comes from its parent.
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

/** What a node of the tree stands for. */
export enum NodeKind {
  Group = 'group',
  /** A service of runners; the last part of the path is its name. */
  Service = 'service',
  /** The guarded workers. */
  Workers = 'workers',
}

/** How tasks are placed on servers; all but `holding` are baselines. */
export enum PolicyKind {
  Holding = 'holding',
  Random = 'random',
  RoundRobin = 'round-robin',
  FewestInFlight = 'fewest-in-flight',
  TwoChoices = 'two-choices',
}

/** Every setting with its default. */
export const effectiveSettingsSchema = z.strictObject({
  queue: z
    .strictObject({
      /** Tasks that may wait at one instance for one pool. */
      maxWaiting: count.default(20_000),
    })
    .prefault({}),
  admission: z
    .strictObject({
      /** Whether a job that could not meet its deadline is refused at once. */
      byEstimate: z.boolean('expected true or false').default(true),
    })
    .prefault({}),
  fairness: z
    .strictObject({
      /** Share of each team relative to the others; 1 where none is named. */
      weights: z.record(nameSchema, positive).default({}),
      /** Tasks each team may have at one instance; no limit where unnamed. */
      quotas: z.record(nameSchema, count).default({}),
    })
    .prefault({}),
  retry: z
    .strictObject({
      /** Retries allowed, as a share of first starts. */
      budgetShare: share.default(0.1),
      /** Starts of one repeatable task, the first with them. */
      maxStarts: count.min(1, 'expected 1 or more').default(3),
    })
    .prefault({}),
  hedge: z
    .strictObject({
      enabled: z.boolean('expected true or false').default(false),
      /** Percentile of run times past which a straggler is hedged. */
      percentile: share.default(0.95),
      /** Hedges allowed, as a share of first starts. */
      budgetShare: share.default(0.05),
    })
    .prefault({}),
  ejection: z
    .strictObject({
      /** Failures in a row after which a server is ejected. */
      failures: count.min(1, 'expected 1 or more').default(5),
      /** First time away; doubles with each ejection in a row. */
      baseMs: millis.default(2_000),
      maxMs: millis.default(60_000),
      /** Share of a zone's servers that may be ejected at once. */
      maxShare: share.default(0.34),
    })
    .prefault({}),
  placement: z
    .strictObject({
      policy: z
        .enum(PolicyKind, 'expected the name of a policy')
        .default(PolicyKind.Holding),
      /** How long a grant may stay unused. */
      grantMs: millis.default(2_000),
      /** Groups into which a zone's servers of one pool are held. */
      shards: count.min(1, 'expected 1 or more').default(1),
    })
    .prefault({}),
  workers: z
    .strictObject({
      /** How long a task's lease lasts unless it is renewed. */
      leaseMs: millis.default(10_000),
      /** How often it is renewed. */
      renewMs: millis.default(3_000),
    })
    .prefault({}),
  logs: z
    .strictObject({
      /** Level of each part of the log; `info` where unnamed. */
      levels: z
        .partialRecord(
          z.enum(LogPart),
          z.enum(LogLevel, 'expected debug, info, warn, error or silent'),
        )
        .default({}),
    })
    .prefault({}),
});

/** Every setting that is in force at one node. */
export type EffectiveSettings = Readonly<
  z.infer<typeof effectiveSettingsSchema>
>;

/** The settings where nothing is overridden. */
export const defaultSettings: EffectiveSettings = effectiveSettingsSchema.parse(
  {},
);
