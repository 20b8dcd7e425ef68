/**
 * Keys within a node. Operators write `queue.max_waiting`, the code reads
 * `queue.maxWaiting`. What stands below, such as a team's name, is no key.
 */
import {isTable, type NodeValues} from './node.js';

const SEPARATOR = '.';
const KEY_PART = /^[a-z]+(?:_[a-z]+)*$/;

/** A group of settings and a setting; below them are names. */
const KEY_DEPTH = 2;

/** The parts of a key. Whether there is such a key is checked in the tree. */
export function parseKey(key: string): readonly string[] {
  return key.split(SEPARATOR);
}

/** Writes a key from its parts. */
export function formatKey(parts: readonly string[]): string {
  return parts.join(SEPARATOR);
}

/** A node's values with their keys in the form that the code reads. */
export function toCamelCase(values: NodeValues, depth = 0): NodeValues {
  if (depth === KEY_DEPTH) return values;
  return Object.fromEntries(
    Object.entries(values).map(([key, value]) => [
      key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase()),
      isTable(value) ? toCamelCase(value, depth + 1) : value,
    ]),
  );
}

/** A key in the form that operators write. */
export function toSnakeCase(key: string): string {
  const parts = parseKey(key);
  return formatKey([
    ...parts.slice(0, KEY_DEPTH).map(toSnakePart),
    ...parts.slice(KEY_DEPTH),
  ]);
}

/** Keys that are not written as operators have to write them. */
export function listMisspelt(
  values: NodeValues,
  above: readonly string[] = [],
): ReadonlyArray<readonly string[]> {
  if (above.length === KEY_DEPTH) return [];
  return Object.entries(values).flatMap(([part, value]) => {
    const parts = [...above, part];
    if (!KEY_PART.test(part)) return [parts];
    return isTable(value) ? listMisspelt(value, parts) : [];
  });
}

/** A node's values with `key` set; tables on the way are made. */
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

/** A node's values without `key`; tables left empty go with it. */
export function unsetValue(
  values: NodeValues,
  [first, ...rest]: readonly string[],
): NodeValues {
  if (first === undefined || !Object.hasOwn(values, first)) return values;
  const {[first]: inner, ...others} = values;
  if (rest.length === 0 || !isTable(inner)) return others;
  const left = unsetValue(inner, rest);
  return Object.keys(left).length === 0 ? others : {...values, [first]: left};
}

/** Every plain value or list of a node with its key, in order of the keys. */
export function listValues(
  values: NodeValues,
  above: readonly string[] = [],
): Array<readonly [key: string, value: unknown]> {
  return Object.keys(values)
    .sort()
    .flatMap(part => {
      const value = values[part];
      const parts = [...above, part];
      if (isTable(value)) return listValues(value, parts);
      return [[formatKey(parts), value] as const];
    });
}

/** What a node overrides on top of what it inherits. */
export function inheritValues(
  inherited: NodeValues,
  own: NodeValues,
): NodeValues {
  const merged = Object.entries(own).map(([key, value]) => {
    const above = Object.hasOwn(inherited, key) ? inherited[key] : undefined;
    const both = isTable(above) && isTable(value);
    return [key, both ? inheritValues(above, value) : value] as const;
  });
  return {...inherited, ...Object.fromEntries(merged)};
}

function toSnakePart(part: string): string {
  return part
    .replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)
    .replace(/^_/, '');
}
