/** Runs the compiled program in a child process. */
import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const BINARY = fileURLToPath(
  new URL('../src/bin/goldcrestpierctl.js', import.meta.url),
);

/** Output and exit code of the program. */
export interface ProcessResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the program until it exits. */
export function runBinary(
  args: readonly string[],
  environment: NodeJS.ProcessEnv,
): Promise<ProcessResult> {
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
