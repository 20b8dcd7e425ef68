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

/** The keys of the page's tables, with the cell beside each. */
const rows = new Map(
  [...page.matchAll(/^\| `([a-z_.]+)` *\| ([^|]*?) *\|/gm)].map(match => [
    match[1],
    match[2],
  ]),
);

test('every key of the settings tree is listed with its default', () => {
  for (const [group, keys] of Object.entries(defaultSettings)) {
    for (const [name, value] of Object.entries(keys)) {
      const key = toSnakeCase(`${group}.${name}`);
      const plain = isTable(value) ? 'none' : String(value);
      assert.equal(rows.get(key)?.replaceAll('`', ''), plain, key);
    }
  }
});

test('every key of the settings file is listed', () => {
  const schema = z.toJSONSchema(processSettingsSchema, {
    io: 'input',
    unrepresentable: 'any',
  });
  for (const key of listKeys(schema)) assert.ok(rows.has(key), key);
});

interface Described {
  readonly properties?: Readonly<Record<string, unknown>>;
}

function listKeys(schema: Described, prefix = ''): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, inner]) => {
    const key = `${prefix}${name}`;
    const keys = listKeys(inner as Described, `${key}.`);
    return keys.length === 0 ? [key] : keys;
  });
}
