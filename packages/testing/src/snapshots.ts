/**
 * Snapshot testing for node:test, which has none in Node 20. Snapshots are in
 * `__snapshots__` next to the test's source file. Run the tests with
 * `UPDATE_SNAPSHOTS=all` to update them.
 */
import {basename, dirname, join, sep} from 'node:path';
import {after} from 'node:test';
import {fileURLToPath} from 'node:url';
import {SnapshotState} from 'jest-snapshot';

/** The snapshots of one test file. */
export interface Snapshots {
  /** Throws if `value` differs from the snapshot `name`, or there is none. */
  match(name: string, value: unknown): void;
}

/** Opens the snapshots of the test file at `testUrl` (`import.meta.url`). */
export function openSnapshots(testUrl: string): Snapshots {
  const compiledPath = fileURLToPath(testUrl);
  const sourcePath = compiledPath
    .replace(`${sep}dist${sep}test${sep}`, `${sep}test${sep}`)
    .replace(/\.js$/, '.ts');
  const snapshotPath = join(
    dirname(sourcePath),
    '__snapshots__',
    `${basename(sourcePath)}.snap`,
  );
  const state = new SnapshotState(snapshotPath, {
    updateSnapshot: process.env['UPDATE_SNAPSHOTS'] === 'all' ? 'all' : 'none',
    snapshotFormat: {escapeString: false, printBasicPrototype: false},
    expand: false,
    prettierPath: null,
    rootDir: dirname(sourcePath),
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
