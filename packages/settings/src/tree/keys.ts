/**
 * Converts and edits the keys of a node. Operators write `queue.max_waiting`,
 * the code reads `queue.maxWaiting`. Deeper levels hold names, such as a team's
 * name, which are never converted.
 */
import {isTable, type NodeValues} from './node.js';

const SEPARATOR = '.';
const KEY_PART = /^[a-z]+(?:_[a-z]+)*$/;

/** A key consists of a section and a setting; deeper levels are names. */
const KEY_DEPTH = 2;

/** Splits a key into its parts. The tree checks whether the key exists. */
export function parseKey(key: string): readonly string[] {
  return key.split(SEPARATOR);
}

/** Joins the parts of a key. */
export function formatKey(parts: readonly string[]): string {
  return parts.join(SEPARATOR);
}

/** Converts the keys of a node's values to camelCase, down to `KEY_DEPTH`. */
export function toCamelCase(values: NodeValues, depth = 0): NodeValues {
  if (depth === KEY_DEPTH) return values;
  return Object.fromEntries(
    Object.entries(values).map(([key, value]) => [
      key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase()),
      isTable(value) ? toCamelCase(value, depth + 1) : value,
    ]),
  );
}

/** Converts a key to snake_case, the form that operators write. */
export function toSnakeCase(key: string): string {
  const parts = parseKey(key);
  return formatKey([
    ...parts.slice(0, KEY_DEPTH).map(toSnakePart),
    ...parts.slice(KEY_DEPTH),
  ]);
}

/** Lists the keys, as lists of parts, that are not in snake_case. */
export function listMisspelledKeys(
  values: NodeValues,
  prefix: readonly string[] = [],
): ReadonlyArray<readonly string[]> {
  if (prefix.length === KEY_DEPTH) return [];
  return Object.entries(values).flatMap(([part, value]) => {
    const parts = [...prefix, part];
    if (!KEY_PART.test(part)) return [parts];
    return isTable(value) ? listMisspelledKeys(value, parts) : [];
  });
}

/** Returns the values with the key set; missing parent tables are created. */
export function setValue(
  values: NodeValues,
  [first, ...rest]: readonly string[],
  value: unknown,
): NodeValues {
  if (first === undefined) return values;
  const inner = values[first];
  const next =
    rest.length === 0
      ? value
      : setValue(isTable(inner) ? inner : {}, rest, value);
  return {...values, [first]: next};
}

/** Returns the values without the key; tables that become empty are removed. */
export function unsetValue(
  values: NodeValues,
  [first, ...rest]: readonly string[],
): NodeValues {
  if (first === undefined || !Object.hasOwn(values, first)) return values;
  const {[first]: inner, ...others} = values;
  if (rest.length === 0 || !isTable(inner)) return others;
  const remaining = unsetValue(inner, rest);
  return Object.keys(remaining).length === 0
    ? others
    : {...values, [first]: remaining};
}

/** Lists every scalar or list value of a node with its key, sorted by key. */
export function listValues(
  values: NodeValues,
  prefix: readonly string[] = [],
): Array<readonly [key: string, value: unknown]> {
  return Object.keys(values)
    .sort()
    .flatMap(part => {
      const value = values[part];
      const parts = [...prefix, part];
      if (isTable(value)) return listValues(value, parts);
      return [[formatKey(parts), value] as const];
    });
}

/** Merges a node's own values over the inherited ones, table by table. */
export function mergeValues(
  inherited: NodeValues,
  own: NodeValues,
): NodeValues {
  const merged = Object.entries(own).map(([key, value]) => {
    const inheritedValue = Object.hasOwn(inherited, key)
      ? inherited[key]
      : undefined;
    const areTables = isTable(inheritedValue) && isTable(value);
    return [
      key,
      areTables ? mergeValues(inheritedValue, value) : value,
    ] as const;
  });
  return {...inherited, ...Object.fromEntries(merged)};
}

function toSnakePart(part: string): string {
  return part
    .replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)
    .replace(/^_/, '');
}
