/**
 * Computes the effective settings of a node, by sections such as `queue`. A
 * section that a node doesn't override is reused from its parent, already
 * validated, so that the cost of a large tree depends only on its overrides.
 */
import type {Problem} from '@goldcrestpier/protocol';
import {z} from 'zod';
import {toSettingsProblems} from '../problems/index.js';
import {
  formatKey,
  mergeValues,
  listMisspelledKeys,
  toCamelCase,
  toSnakeCase,
} from './keys.js';
import {isTable, type NodeValues} from './node.js';
import {
  defaultSettings,
  effectiveSettingsSchema,
  type EffectiveSettings,
} from './schema.js';

/** Depth of a section's keys within a node. */
const SECTION_DEPTH = 1;
/** Path of a problem that concerns the whole input. */
const ROOT_PROBLEM_PATH = '(body)';
const emptySchema = z.strictObject({});

type SectionName = keyof EffectiveSettings;

/** One section of one node. */
interface Section {
  /** Own and inherited values, with snake_case keys. */
  readonly values: NodeValues;
  readonly settings: EffectiveSettings[SectionName];
  readonly problems: readonly Problem[];
}

/** One node merged with the values it inherits. */
export interface CheckedNode {
  readonly sections: ReadonlyMap<SectionName, Section>;
  /** Effective settings; meaningful only if there are no problems. */
  readonly settings: EffectiveSettings;
}

/** A validated node, and the problems in its own values. */
export interface NodeCheck {
  readonly node: CheckedNode;
  readonly problems: readonly Problem[];
}

const sectionSchemas: Readonly<Record<SectionName, z.ZodType>> =
  effectiveSettingsSchema.shape;
const sectionNames = Object.keys(sectionSchemas) as SectionName[];
const sectionNamesByKey = new Map(
  sectionNames.map(name => [toSnakeCase(name), name]),
);

/** The defaults, from which the root inherits. */
export const defaultNode: CheckedNode = {
  settings: defaultSettings,
  sections: new Map(
    sectionNames.map(name => [
      name,
      {values: {}, settings: defaultSettings[name], problems: []},
    ]),
  ),
};

/** Validates a node's own values merged over the inherited ones. */
export function checkNode(parent: CheckedNode, own: NodeValues): NodeCheck {
  const problems = checkKeySpelling(own);
  const changed = new Map<SectionName, Section>();
  for (const [key, values] of Object.entries(own)) {
    const name = sectionNamesByKey.get(key);
    const inherited = name && parent.sections.get(name);
    if (name === undefined || inherited === undefined) {
      problems.push(...describeUnknownSection(key, values));
      continue;
    }
    const section = checkSection(name, inherited, values);
    changed.set(name, section);
    problems.push(...listNewProblems(section, inherited));
  }
  return {
    node: changed.size === 0 ? parent : replaceSections(parent, changed),
    problems,
  };
}

function replaceSections(
  parent: CheckedNode,
  changed: ReadonlyMap<SectionName, Section>,
): CheckedNode {
  const settings = [...changed].map(([name, section]) => [
    name,
    section.settings,
  ]);
  return {
    sections: new Map([...parent.sections, ...changed]),
    settings: {
      ...parent.settings,
      ...(Object.fromEntries(settings) as Partial<EffectiveSettings>),
    },
  };
}

function checkSection(
  name: SectionName,
  inherited: Section,
  own: unknown,
): Section {
  const values = isTable(own) ? mergeValues(inherited.values, own) : {};
  const input = isTable(own) ? toCamelCase(values, SECTION_DEPTH) : own;
  const parsed = sectionSchemas[name].safeParse(input);
  if (parsed.success) {
    const settings = parsed.data as Section['settings'];
    const problems = checkRelatedValues({...defaultSettings, [name]: settings});
    return {values, settings, problems};
  }
  const problems = toSettingsProblems(parsed.error, input).map(problem => ({
    ...problem,
    path: toSnakeCase(`${name}${toPathSuffix(problem.path)}`),
  }));
  return {values, settings: inherited.settings, problems};
}

/** Checks constraints between settings of the same section. */
function checkRelatedValues({workers, ejection}: EffectiveSettings): Problem[] {
  const problems: Problem[] = [];
  if (workers.renewMs >= workers.leaseMs) {
    problems.push({
      path: 'workers.renew_ms',
      found: String(workers.renewMs),
      expected: `expected less than lease_ms, ${workers.leaseMs}`,
    });
  }
  if (ejection.baseMs > ejection.maxMs) {
    problems.push({
      path: 'ejection.base_ms',
      found: String(ejection.baseMs),
      expected: `expected no more than max_ms, ${ejection.maxMs}`,
    });
  }
  return problems;
}

/** Reports keys that are not in snake_case, such as camelCase ones. */
function checkKeySpelling(values: NodeValues): Problem[] {
  return listMisspelledKeys(values).map(parts => {
    const key = formatKey(parts);
    const expected = `expected a key as in ${toSnakeCase(key)}`;
    return {path: key, found: 'another spelling', expected};
  });
}

function describeUnknownSection(key: string, value: unknown): Problem[] {
  const values = isTable(value) ? {} : value;
  const parsed = emptySchema.safeParse({[key]: values});
  return parsed.error ? toSettingsProblems(parsed.error, {[key]: values}) : [];
}

/** Lists problems that are not inherited; the ancestor reports those. */
function listNewProblems(section: Section, inherited: Section): Problem[] {
  const inheritedProblems = new Set(inherited.problems.map(serializeProblem));
  return section.problems.filter(
    problem => !inheritedProblems.has(serializeProblem(problem)),
  );
}

function toPathSuffix(path: string): string {
  return path === ROOT_PROBLEM_PATH ? '' : `.${path}`;
}

function serializeProblem({path, found, expected}: Problem): string {
  return JSON.stringify([path, found, expected]);
}
