/** Runs one command from the command line to its exit code. */
import type {Result} from 'ts-results-es';
import {OperatorsCalls, resolveTarget} from '../calls/index.js';
import type {CommandOutput} from '../commands/index.js';
import {ExitCode, exitCodeOf, type CtlProblem} from '../failures/index.js';
import {describeProblem, renderProblem} from '../output/index.js';
import {createCommandLine, type ChosenCommand} from './commands.js';
import {readUserName, TEXT_OPTIONS} from './flags.js';

const JSON_INDENT = 2;

/** What the program needs of its process. */
export interface CtlProcess {
  readonly argv: string[];
  readonly env: NodeJS.ProcessEnv;
  readonly stdout: {write(text: string): unknown};
  readonly stderr: {write(text: string): unknown};
}

/** Runs the command that `argv` names. */
export async function runCtl(ctl: CtlProcess): Promise<ExitCode> {
  const chosen = chooseCommand(ctl);
  // Help and the version were printed.
  if (chosen === undefined) return ExitCode.Success;
  const result = await runCommand(chosen, ctl.env);
  return print(ctl, chosen.flags.json, result);
}

function chooseCommand(ctl: CtlProcess): ChosenCommand | undefined {
  const parsed: ReturnType<typeof parseLazily> | undefined = parseLazily(ctl);
  return parsed?.handler(...parsed.args) as ChosenCommand | undefined;
}

function parseLazily({argv, env}: CtlProcess) {
  return createCommandLine().parse(argv, {
    lazy: true,
    boolean: ['json', 'toml'],
    string: [...TEXT_OPTIONS],
    default: {by: readUserName(env)},
    unknown: option => `Unknown option: ${option}`,
  });
}

async function runCommand(
  {command, flags}: ChosenCommand,
  environment: NodeJS.ProcessEnv,
): Promise<Result<CommandOutput, CtlProblem>> {
  if (command.isErr()) return command;
  const target = resolveTarget(flags, environment);
  if (target.isErr()) return target;
  const calls = new OperatorsCalls(target.value);
  try {
    return await command.value(calls);
  } finally {
    await calls.close();
  }
}

function print(
  {stdout, stderr}: CtlProcess,
  asJson: boolean,
  result: Result<CommandOutput, CtlProblem>,
): ExitCode {
  if (result.isErr()) {
    const problem = result.error;
    if (asJson) stdout.write(formatJson(describeProblem(problem)));
    else stderr.write(renderProblem(problem));
    return exitCodeOf(problem);
  }
  const {data, text, unreached = []} = result.value;
  stdout.write(asJson ? formatJson(data) : `${text}\n`);
  if (unreached.length === 0) return ExitCode.Success;
  stderr.write(
    `not reached, so their part is missing: ${unreached.join(', ')}\n`,
  );
  return ExitCode.Partial;
}

function formatJson(data: unknown): string {
  return `${JSON.stringify(data, undefined, JSON_INDENT)}\n`;
}
