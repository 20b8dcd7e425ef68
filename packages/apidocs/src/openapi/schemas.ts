/** JSON Schemas of bodies, derived from the schemas that validate them. */
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

/** Request bodies, before defaults are applied. */
const requestSchemas = {
  Job: jobSchema,
  EditRequest: editRequestSchema,
};

/** Response bodies. */
const responseSchemas = {
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

/** Name of the schema of a body. */
export type SchemaName =
  keyof typeof requestSchemas | keyof typeof responseSchemas;

/** Creates the JSON Schemas of all bodies, by name. */
export function createSchemaComponents(): Record<string, unknown> {
  return {
    ...convertToJsonSchemas(requestSchemas, 'input'),
    ...convertToJsonSchemas(responseSchemas, 'output'),
  };
}

/** Creates a reference to the schema of a body. */
export function createReference(name: SchemaName): {readonly $ref: string} {
  return {$ref: `#/components/schemas/${name}`};
}

function convertToJsonSchemas(
  schemas: Readonly<Record<string, z.ZodType>>,
  io: 'input' | 'output',
): Record<string, unknown> {
  const converted = Object.entries(schemas).map(([name, schema]) => {
    const json: Record<string, unknown> = z.toJSONSchema(schema, {io});
    // OpenAPI 3.1 has one JSON Schema dialect for the whole document.
    delete json['$schema'];
    return [name, json];
  });
  return Object.fromEntries(converted) as Record<string, unknown>;
}
