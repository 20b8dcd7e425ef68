/**
 * Snapshots for node:test, whose runner of Node 20 has none of its own. They
 * stand in `__snapshots__` beside the test's source file; run the tests with
 * `UPDATE_SNAPSHOTS=all` to write them anew.
 */
import {basename, dirname, join, sep} from 'node:path';
import {after} from 'node:test';
import {fileURLToPath} from 'node:url';
import {SnapshotState} from 'jest-snapshot';

/** Compares values with one test file's snapshots. */
export interface Snapshots {
  /** Throws when `value` differs from the snapshot called `name`. */
  match(name: string, value: unknown): void;
}

/** Opens the snapshots of the test file at `testUrl` (`import.meta.url`). */
export function openSnapshots(testUrl: string): Snapshots {
  const compiled = fileURLToPath(testUrl);
  const source = compiled
    .replace(`${sep}dist${sep}test${sep}`, `${sep}test${sep}`)
    .replace(/\.js$/, '.ts');
  const path = join(
    dirname(source),
    '__snapshots__',
    `${basename(source)}.snap`,
  );
  const state = new SnapshotState(path, {
    updateSnapshot: process.env['UPDATE_SNAPSHOTS'] === 'all' ? 'all' : 'none',
    snapshotFormat: {escapeString: false, printBasicPrototype: false},
    expand: false,
    prettierPath: null,
    rootDir: dirname(source),
  });
  after(() => void state.save());
  return {
    match(name, value) {
      const result = state.match({
        testName: name,
        received: value,
        isInline: false,
      });
      if (!result.pass) {
        throw new Error(
          `snapshot "${name}" differs\nexpected: ${result.expected ?? 'none'}\nactual: ${result.actual}`,
        );
      }
    },
  };
}
