import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {
  defaultSettings,
  isTable,
  processSettingsSchema,
  toSnakeCase,
} from '@goldcrestpier/settings';
import {z} from 'zod';

const page = readFileSync(
  new URL('../../../../docs/operators.md', import.meta.url),
  'utf8',
);

/** Keys in the tables of the page, with the content of the next cell. */
const cellsByKey = new Map(
  [...page.matchAll(/^\| `([a-z_.]+)` *\| ([^|]*?) *\|/gm)].map(match => [
    match[1],
    match[2],
  ]),
);

test('every key of the settings tree is documented with its default', () => {
  for (const [group, keys] of Object.entries(defaultSettings)) {
    for (const [name, value] of Object.entries(keys)) {
      const key = toSnakeCase(`${group}.${name}`);
      const plain = isTable(value) ? 'none' : String(value);
      assert.equal(cellsByKey.get(key)?.replaceAll('`', ''), plain, key);
    }
  }
});

test('every key of the settings file is documented', () => {
  const schema = z.toJSONSchema(processSettingsSchema, {
    io: 'input',
    unrepresentable: 'any',
  });
  for (const key of listKeys(schema)) assert.ok(cellsByKey.has(key), key);
});

interface SchemaNode {
  readonly properties?: Readonly<Record<string, unknown>>;
}

function listKeys(schema: SchemaNode, prefix = ''): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const key = `${prefix}${name}`;
    const keys = listKeys(property as SchemaNode, `${key}.`);
    return keys.length === 0 ? [key] : keys;
  });
}
