/** Parses the command line, runs the command and prints its result. */
import type {Result} from 'ts-results-es';
import {OperatorsClient, resolveTarget} from '../calls/index.js';
import type {CommandOutput} from '../commands/index.js';
import {ExitCode, getExitCode, type CtlProblem} from '../failures/index.js';
import {toJsonProblem, renderProblem} from '../output/index.js';
import {createCommandLine, type ParsedCommand} from './commands.js';
import {getDefaultAuthor, STRING_OPTIONS} from './flags.js';

const JSON_INDENT = 2;

/** The parts of `process` that the program uses. */
export interface CtlProcess {
  readonly argv: string[];
  readonly env: NodeJS.ProcessEnv;
  readonly stdout: {write(text: string): unknown};
  readonly stderr: {write(text: string): unknown};
}

/** Runs the command in `argv` and returns the exit code. */
export async function runCtl(ctl: CtlProcess): Promise<ExitCode> {
  const parsed = parseCommand(ctl);
  // sade has already printed the help or the version.
  if (parsed === undefined) return ExitCode.Success;
  const result = await runCommand(parsed, ctl.env);
  return printResult(ctl, parsed.flags.json, result);
}

function parseCommand(ctl: CtlProcess): ParsedCommand | undefined {
  const parsed: ReturnType<typeof parseArguments> | undefined =
    parseArguments(ctl);
  return parsed?.handler(...parsed.args) as ParsedCommand | undefined;
}

function parseArguments({argv, env}: CtlProcess) {
  return createCommandLine().parse(argv, {
    lazy: true,
    boolean: ['json', 'toml'],
    string: [...STRING_OPTIONS],
    default: {by: getDefaultAuthor(env)},
    unknown: option => `Unknown option: ${option}`,
  });
}

async function runCommand(
  {command, flags}: ParsedCommand,
  environment: NodeJS.ProcessEnv,
): Promise<Result<CommandOutput, CtlProblem>> {
  if (command.isErr()) return command;
  const target = resolveTarget(flags, environment);
  if (target.isErr()) return target;
  const client = new OperatorsClient(target.value);
  try {
    return await command.value(client);
  } finally {
    await client.close();
  }
}

function printResult(
  {stdout, stderr}: CtlProcess,
  asJson: boolean,
  result: Result<CommandOutput, CtlProblem>,
): ExitCode {
  if (result.isErr()) {
    const problem = result.error;
    if (asJson) stdout.write(formatJson(toJsonProblem(problem)));
    else stderr.write(renderProblem(problem));
    return getExitCode(problem);
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
