/**
 * The settings of one process, from its TOML file. The file's keys are in
 * snake_case; each table maps them to the names that the code uses.
 */
import {nameSchema} from '@goldcrestpier/protocol';
import {LogLevel} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {listenAddressSchema, remoteAddressSchema} from './host_port.js';

const SHORTEST_TOKEN_CHARACTERS = 16;
const LONGEST_TOKEN_CHARACTERS = 1_024;
const DEFAULT_BODY_BYTES = 8 * 1024 * 1024;

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
    SHORTEST_TOKEN_CHARACTERS,
    `expected a token of ${SHORTEST_TOKEN_CHARACTERS} characters or more`,
  )
  .max(
    LONGEST_TOKEN_CHARACTERS,
    `expected a token of at most ${LONGEST_TOKEN_CHARACTERS} characters`,
  );
const tableMessage = 'expected a table';

const callersSchema = z
  .strictObject(
    {
      /** `host:port` on which callers are served. */
      listen: listenAddressSchema,
      max_body_bytes: count.default(DEFAULT_BODY_BYTES),
      max_connections: count.default(10_000),
      /** How long a connection may stay without a request. */
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
      /** `host:port` on which other entry instances are served. */
      listen: listenAddressSchema,
      /** `host:port` told to the others; where it listens unless given. */
      advertise: remoteAddressSchema.optional(),
      /** Shared by all entry instances. */
      token,
      /** Some peers to begin with, beside the instance list. */
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
      /** The key-value service's endpoints, tried in turn. */
      key_value: z
        .array(url, 'expected a list of addresses')
        .min(1, 'expected one address or more'),
      /** The instance list's address. */
      instance_list: url,
      /** How often the instance list is read. */
      poll_ms: millis.default(2_000),
      /** How long a call to the platform may take. */
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
      /** How long a session may stay without a request. */
      idle_ms: millis.default(900_000),
      max_sessions: count.default(20_000),
      /** Keys that one session may use. */
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
      /** How long a finished job's answer is kept to be read. */
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

/** The whole file, with its defaults. */
export const processSettingsSchema = z.strictObject({
  /** The availability zone in which this process runs. */
  zone: name,
  /** Unique name of this entry instance. */
  instance: name,
  /** Size of this instance relative to the others. */
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

/** What one process learns from its file when it starts. */
export type ProcessSettings = Readonly<z.infer<typeof processSettingsSchema>>;
