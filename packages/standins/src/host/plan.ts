/** Input and output of a process that hosts stand-ins. */
import {z} from 'zod';
import {instanceListOptionsSchema} from '../instance_list/index.js';
import {runnerOptionsSchema} from '../runner/index.js';
import {workerOptionsSchema} from '../worker/index.js';

/** Kinds of stand-ins that a process can host. */
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

/** Schema of a stand-in to host. */
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

/** Schema of all stand-ins that one process hosts. */
export const hostPlanSchema = z.strictObject({
  standins: z.array(standinPlanSchema),
});

/** Schema of a running stand-in. */
export const hostedStandinSchema = z.strictObject({
  kind: z.enum(StandinKind),
  name: z.string(),
  address: z.string(),
  adminAddress: z.string(),
});

/** Schema of the line that a host prints once all its stand-ins listen. */
export const hostReportSchema = z.strictObject({
  standins: z.array(hostedStandinSchema),
});

/** A stand-in to host, with defaults filled in. */
export type ParsedStandinPlan = Readonly<z.infer<typeof standinPlanSchema>>;
/** A stand-in to host. */
export type StandinPlan = Readonly<z.input<typeof standinPlanSchema>>;
/** All stand-ins that one process hosts. */
export type HostPlan = Readonly<z.input<typeof hostPlanSchema>>;
/** A running stand-in. */
export type HostedStandin = Readonly<z.infer<typeof hostedStandinSchema>>;
