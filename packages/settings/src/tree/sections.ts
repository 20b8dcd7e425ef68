/**
 * What is in force at one node, worked out by sections such as `queue`. A
 * section that a node does not touch is its parent's, checked already, so
 * that a large tree costs what is overridden in it and no more.
 */
import type {Problem} from '@goldcrestpier/protocol';
import {z} from 'zod';
import {toSettingsProblems} from '../problems/index.js';
import {
  formatKey,
  inheritValues,
  listMisspelt,
  toCamelCase,
  toSnakeCase,
} from './keys.js';
import {isTable, type NodeValues} from './node.js';
import {
  defaultSettings,
  effectiveSettingsSchema,
  type EffectiveSettings,
} from './schema.js';

/** The depth of a section's keys within a node. */
const SECTION_DEPTH = 1;
/** The path that a problem has when it is about the whole input. */
const WHOLE = '(body)';
const noSections = z.strictObject({});

type SectionName = keyof EffectiveSettings;

/** One section at one node. */
interface Section {
  /** Own and inherited values, in operators' keys. */
  readonly values: NodeValues;
  readonly settings: EffectiveSettings[SectionName];
  readonly problems: readonly Problem[];
}

/** One node with what it inherits. */
export interface CheckedNode {
  readonly sections: ReadonlyMap<SectionName, Section>;
  /** What is in force; only of use where nothing is wrong. */
  readonly settings: EffectiveSettings;
}

/** A checked node, and what is wrong in what it writes itself. */
export interface NodeCheck {
  readonly node: CheckedNode;
  readonly problems: readonly Problem[];
}

const shapes: Readonly<Record<SectionName, z.ZodType>> =
  effectiveSettingsSchema.shape;
const names = Object.keys(shapes) as SectionName[];
const namesByKey = new Map(names.map(name => [toSnakeCase(name), name]));

/** What the root inherits: the defaults. */
export const defaultNode: CheckedNode = {
  settings: defaultSettings,
  sections: new Map(
    names.map(name => [
      name,
      {values: {}, settings: defaultSettings[name], problems: []},
    ]),
  ),
};

/** Checks a node's own values on top of what it inherits. */
export function checkNode(parent: CheckedNode, own: NodeValues): NodeCheck {
  const problems = checkKeys(own);
  const changed = new Map<SectionName, Section>();
  for (const [key, values] of Object.entries(own)) {
    const name = namesByKey.get(key);
    const inherited = name && parent.sections.get(name);
    if (name === undefined || inherited === undefined) {
      problems.push(...describeUnknown(key, values));
      continue;
    }
    const section = checkSection(name, inherited, values);
    changed.set(name, section);
    problems.push(...listNew(section, inherited));
  }
  return {
    node: changed.size === 0 ? parent : change(parent, changed),
    problems,
  };
}

function change(
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
  const values = isTable(own) ? inheritValues(inherited.values, own) : {};
  const input = isTable(own) ? toCamelCase(values, SECTION_DEPTH) : own;
  const parsed = shapes[name].safeParse(input);
  if (parsed.success) {
    const settings = parsed.data as Section['settings'];
    const problems = checkTogether({...defaultSettings, [name]: settings});
    return {values, settings, problems};
  }
  const problems = toSettingsProblems(parsed.error, input).map(problem => ({
    ...problem,
    path: toSnakeCase(`${name}${placeBelow(problem.path)}`),
  }));
  return {values, settings: inherited.settings, problems};
}

/** Checks settings of one section that must fit each other. */
function checkTogether({workers, ejection}: EffectiveSettings): Problem[] {
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

/** Rejects other ways to write a key, such as the code's own. */
function checkKeys(values: NodeValues): Problem[] {
  return listMisspelt(values).map(parts => {
    const key = formatKey(parts);
    const expected = `expected a key as in ${toSnakeCase(key)}`;
    return {path: key, found: 'another spelling', expected};
  });
}

function describeUnknown(key: string, value: unknown): Problem[] {
  const values = isTable(value) ? {} : value;
  const parsed = noSections.safeParse({[key]: values});
  return parsed.error ? toSettingsProblems(parsed.error, {[key]: values}) : [];
}

/** What a section does not only inherit; that is told where it is written. */
function listNew(section: Section, inherited: Section): Problem[] {
  const told = new Set(inherited.problems.map(toText));
  return section.problems.filter(problem => !told.has(toText(problem)));
}

function placeBelow(path: string): string {
  return path === WHOLE ? '' : `.${path}`;
}

function toText({path, found, expected}: Problem): string {
  return JSON.stringify([path, found, expected]);
}
