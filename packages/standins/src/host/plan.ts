/** What one process of stand-ins is told to host, and what it reports. */
import {z} from 'zod';
import {instanceListOptionsSchema} from '../instance_list/index.js';
import {runnerOptionsSchema} from '../runner/index.js';
import {workerOptionsSchema} from '../worker/index.js';

/** The kinds of stand-ins. */
export enum StandinKind {
  Runner = 'runner',
  Worker = 'worker',
  InstanceList = 'instance-list',
  KeyValue = 'key-value',
}

const keyValueOptionsSchema = z.strictObject({
  name: z.string().default('key-value'),
  port: z.number().int().default(0),
});

/** One stand-in to host. */
export const standinPlanSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(StandinKind.Runner),
    options: runnerOptionsSchema,
  }),
  z.strictObject({
    kind: z.literal(StandinKind.Worker),
    options: workerOptionsSchema,
  }),
  z.strictObject({
    kind: z.literal(StandinKind.InstanceList),
    options: instanceListOptionsSchema,
  }),
  z.strictObject({
    kind: z.literal(StandinKind.KeyValue),
    options: keyValueOptionsSchema,
  }),
]);

/** Everything that one process hosts. */
export const hostPlanSchema = z.strictObject({
  standins: z.array(standinPlanSchema),
});

/** One stand-in that runs. */
export const hostedStandinSchema = z.strictObject({
  kind: z.enum(StandinKind),
  name: z.string(),
  address: z.string(),
  adminAddress: z.string(),
});

/** The line that a host prints once everything listens. */
export const hostReportSchema = z.strictObject({
  standins: z.array(hostedStandinSchema),
});

/** One stand-in to host, with its defaults. */
export type CheckedStandinPlan = Readonly<z.infer<typeof standinPlanSchema>>;
/** One stand-in to host. */
export type StandinPlan = Readonly<z.input<typeof standinPlanSchema>>;
/** Everything that one process hosts. */
export type HostPlan = Readonly<z.input<typeof hostPlanSchema>>;
/** One stand-in that runs. */
export type HostedStandin = Readonly<z.infer<typeof hostedStandinSchema>>;
