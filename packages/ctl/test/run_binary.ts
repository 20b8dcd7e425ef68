/** Runs the real program as a process of its own. */
import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const BINARY = fileURLToPath(
  new URL('../src/bin/goldcrestpierctl.js', import.meta.url),
);

/** What the program printed and how it ended. */
export interface Ended {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the program to its end. */
export function runBinary(
  args: readonly string[],
  environment: NodeJS.ProcessEnv,
): Promise<Ended> {
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [BINARY, ...args],
      {env: {PATH: process.env['PATH'], USER: 'rosa', ...environment}},
      (_error, stdout, stderr) =>
        resolve({exitCode: child.exitCode ?? -1, stdout, stderr}),
    );
  });
}
