/** The bodies, made from the schemas that the programs check them with. */
import {
  drainAnswerSchema,
  editAnswerSchema,
  editRequestSchema,
  effectiveViewSchema,
  fleetInstancesSchema,
  fleetJobsSchema,
  fleetServersSchema,
  settingsDiffSchema,
  settingsHistorySchema,
  settingsViewSchema,
} from '@goldcrestpier/operators';
import {
  failureSchema,
  jobAnswerSchema,
  jobSchema,
  sessionAnswerSchema,
} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** What is sent, before defaults are filled in. */
const requestSchemas = {
  Job: jobSchema,
  EditRequest: editRequestSchema,
};

/** What is answered. */
const answerSchemas = {
  Failure: failureSchema,
  JobAnswer: jobAnswerSchema,
  SessionAnswer: sessionAnswerSchema,
  EditAnswer: editAnswerSchema,
  SettingsView: settingsViewSchema,
  EffectiveView: effectiveViewSchema,
  SettingsHistory: settingsHistorySchema,
  SettingsDiff: settingsDiffSchema,
  FleetJobs: fleetJobsSchema,
  FleetInstances: fleetInstancesSchema,
  FleetServers: fleetServersSchema,
  DrainAnswer: drainAnswerSchema,
};

/** The name of a body's schema. */
export type SchemaName =
  keyof typeof requestSchemas | keyof typeof answerSchemas;

/** All bodies as JSON Schema, by name. */
export function createSchemaComponents(): Record<string, unknown> {
  return {
    ...convertAll(requestSchemas, 'input'),
    ...convertAll(answerSchemas, 'output'),
  };
}

/** The reference to one body's schema. */
export function createReference(name: SchemaName): {readonly $ref: string} {
  return {$ref: `#/components/schemas/${name}`};
}

function convertAll(
  schemas: Readonly<Record<string, z.ZodType>>,
  io: 'input' | 'output',
): Record<string, unknown> {
  const converted = Object.entries(schemas).map(([name, schema]) => {
    const json: Record<string, unknown> = z.toJSONSchema(schema, {io});
    // OpenAPI 3.1 names the dialect once, for the whole document.
    delete json['$schema'];
    return [name, json];
  });
  return Object.fromEntries(converted) as Record<string, unknown>;
}
