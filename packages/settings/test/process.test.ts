import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode} from '@goldcrestpier/protocol';
import {openSnapshots} from '@goldcrestpier/testing';
import fc from 'fast-check';
import {
  formatHostPort,
  loadProcessSettings,
  parseHostPort,
  parseProcessSettings,
} from '../src/index.js';

const snapshots = openSnapshots(import.meta.url);

const MINIMAL_FILE = `
zone = "batangas-1"
instance = "entry-1"
[callers]
listen = "127.0.0.1:8080"
[peers]
listen = "127.0.0.1:0"
token = "a-token-among-peers"
[operators]
listen = "[::1]:8082"
token = "a-token-of-operators"
[platform]
key_value = ["http://127.0.0.1:2379"]
instance_list = "http://127.0.0.1:2380/targets"
`;

test('defaults are added to a minimal file', () => {
  snapshots.match('defaults', parseProcessSettings(MINIMAL_FILE).unwrap());
});

test('every invalid, missing and unknown key is reported, and tokens are redacted', () => {
  const failure = parseProcessSettings(`
zone = "Batangas 1"
weight = 0
colour = "red"
[callers]
listen = "8080"
max_body_bytes = "8 MiB"
[peers]
listen = "127.0.0.1:70000"
seeds = ["127.0.0.1:1", "127.0.0.1"]
token = "short"
port = 3
[operators]
token = 5
[platform]
key_value = []
instance_list = "ftp://127.0.0.1/"
[logs]
level = "loud"
`).unwrapErr();
  snapshots.match('problems', failure);
  assert.ok(!JSON.stringify(failure).includes('short'));
});

test('a missing file and malformed TOML return typed failures', () => {
  snapshots.match('broken', parseProcessSettings('zone = \n').unwrapErr());
  snapshots.match('missing', loadProcessSettings('no/such.toml').unwrapErr());
});

test('any generated text returns a typed failure', () => {
  const line = fc.constantFrom('[peers]', 'zone = 1', 'a.b', '[[x]]', '"');
  const text = fc.oneof(
    fc.string(),
    fc.array(line).map(all => all.join('\n')),
  );
  fc.assert(
    fc.property(text, any => {
      const result = parseProcessSettings(any);
      assert.ok(result.unwrapErr().code === FailureCode.SettingsInvalid);
    }),
    {seed: 11},
  );
});

test('formatted addresses equal the parsed text', () => {
  for (const text of ['127.0.0.1:1', '[::1]:65535', 'entry-1.local:80']) {
    const address = parseHostPort(text);
    assert.ok(address !== undefined);
    assert.equal(formatHostPort(address), text);
  }
  for (const text of ['', ':1', '::1:1', 'a:65536', 'a:-1', 'a b:1']) {
    assert.equal(parseHostPort(text), undefined);
  }
});
