/**
 * Schema of the TOML settings file of one process. The file's keys are in
 * snake_case; each table converts them to camelCase.
 */
import {nameSchema} from '@goldcrestpier/protocol';
import {LogLevel} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {listenAddressSchema, remoteAddressSchema} from './host_port.js';

const MIN_TOKEN_CHARACTERS = 16;
const MAX_TOKEN_CHARACTERS = 1_024;
const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;

const count = z
  .number('expected a number')
  .int('expected a whole number')
  .min(1, 'expected 1 or more');
const millis = z
  .number('expected a number of milliseconds')
  .int('expected whole milliseconds')
  .min(1, 'expected 1 or more');
const name = z.string('expected a name').pipe(nameSchema);
const url = z.url({
  protocol: /^https?$/,
  error: 'expected an http:// or https:// address',
});
const token = z
  .string('expected a token')
  .min(
    MIN_TOKEN_CHARACTERS,
    `expected a token of ${MIN_TOKEN_CHARACTERS} characters or more`,
  )
  .max(
    MAX_TOKEN_CHARACTERS,
    `expected a token of at most ${MAX_TOKEN_CHARACTERS} characters`,
  );
const tableMessage = 'expected a table';

const callersSchema = z
  .strictObject(
    {
      /** `host:port` of the server for callers. */
      listen: listenAddressSchema,
      max_body_bytes: count.default(DEFAULT_MAX_BODY_BYTES),
      max_connections: count.default(10_000),
      /** Time after which a connection without a request is closed. */
      idle_ms: millis.default(65_000),
    },
    tableMessage,
  )
  .transform(table => ({
    listen: table.listen,
    maxBodyBytes: table.max_body_bytes,
    maxConnections: table.max_connections,
    idleMs: table.idle_ms,
  }));

const peersSchema = z
  .strictObject(
    {
      /** `host:port` of the server for other entry instances. */
      listen: listenAddressSchema,
      /** `host:port` announced to other instances; defaults to `listen`. */
      advertise: remoteAddressSchema.optional(),
      /** Secret shared by all entry instances. */
      token,
      /** Initial peers, in addition to those of the instance list. */
      seeds: z
        .array(remoteAddressSchema, 'expected a list of host:port')
        .default([]),
    },
    tableMessage,
  )
  .readonly();

const operatorsSchema = z
  .strictObject({listen: listenAddressSchema, token}, tableMessage)
  .readonly();

const platformSchema = z
  .strictObject(
    {
      /** Endpoints of the key-value service, tried in order. */
      key_value: z
        .array(url, 'expected a list of addresses')
        .min(1, 'expected one address or more'),
      /** Address of the instance list. */
      instance_list: url,
      /** Interval at which the instance list is read. */
      poll_ms: millis.default(2_000),
      /** Timeout of a call to the platform. */
      timeout_ms: millis.default(2_000),
    },
    tableMessage,
  )
  .transform(table => ({
    keyValue: table.key_value,
    instanceList: table.instance_list,
    pollMs: table.poll_ms,
    timeoutMs: table.timeout_ms,
  }));

const sessionsSchema = z
  .strictObject(
    {
      /** Time after which a session without a request ends. */
      idle_ms: millis.default(900_000),
      max_sessions: count.default(20_000),
      /** Maximum number of keys that one session may use. */
      max_keys: count.default(100_000),
    },
    tableMessage,
  )
  .transform(table => ({
    idleMs: table.idle_ms,
    maxSessions: table.max_sessions,
    maxKeys: table.max_keys,
  }));

const jobsSchema = z
  .strictObject(
    {
      /** How long the result of a finished job remains readable. */
      answers_kept_ms: millis.default(600_000),
    },
    tableMessage,
  )
  .transform(table => ({answersKeptMs: table.answers_kept_ms}));

const logsSchema = z.strictObject(
  {
    level: z
      .enum(LogLevel, 'expected debug, info, warn, error or silent')
      .default(LogLevel.Info),
  },
  tableMessage,
);

/** Schema of the whole file, with its defaults. */
export const processSettingsSchema = z.strictObject({
  /** Availability zone in which this process runs. */
  zone: name,
  /** Unique name of this entry instance. */
  instance: name,
  /** Capacity of this instance relative to the others. */
  weight: z
    .number('expected a number')
    .positive('expected more than 0')
    .default(1),
  callers: callersSchema,
  peers: peersSchema,
  operators: operatorsSchema,
  platform: platformSchema,
  sessions: sessionsSchema.prefault({}),
  jobs: jobsSchema.prefault({}),
  logs: logsSchema.prefault({}),
});

/** Settings that a process reads from its file at startup. */
export type ProcessSettings = Readonly<z.infer<typeof processSettingsSchema>>;
