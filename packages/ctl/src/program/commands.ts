/** Definition of the command line with sade: commands, arguments, options. */
import {
  EditKind,
  NodeKind,
  parseSettingValue,
  type SettingsEdit,
} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import sade, {type Sade} from 'sade';
import {
  cancelJob,
  createEditCommand,
  drain,
  getDiff,
  getEffective,
  getHistory,
  getSettings,
  listInstances,
  listJobs,
  listServers,
  readDocument,
  showJob,
  type Command,
} from '../commands/index.js';
import {createUsageProblem, type CtlProblem} from '../failures/index.js';
import type {CtlFlags} from './flags.js';

const PROGRAM = 'goldcrestpierctl';
const VERSION = '0.1.0';

/** A parsed command with its options, or the error in its arguments. */
export interface ParsedCommand {
  readonly command: Result<Command, CtlProblem>;
  readonly flags: CtlFlags;
}

/** Defines the command line; every action returns a `ParsedCommand`. */
export function createCommandLine(): Sade {
  const program = sade(PROGRAM)
    .version(VERSION)
    .option('--instance', "Address of an operators' listener, http://host:port")
    .option('--token-file', "File with the operators' token")
    .option('--json', 'Print JSON for programs');
  addSettingsReadCommands(program);
  addSettingsEditCommands(program);
  addJobCommands(program);
  addFleetCommands(program);
  return program;
}

function addSettingsReadCommands(program: Sade): void {
  program
    .command('settings get [node]')
    .describe(
      'Show what each node sets itself. Or only one node. The root is "/"',
    )
    .option('--toml', 'Print the document that "settings apply" reads')
    .example('settings get /billing/quotes')
    .action((node: string | undefined, flags: CtlFlags) =>
      withFlags(flags, client => getSettings(client, node, flags.toml)),
    );
  program
    .command('settings effective <node>')
    .describe('Show every setting in force at a node and where it comes from')
    .example('settings effective /billing/quotes')
    .action((node: string, flags: CtlFlags) =>
      withFlags(flags, client => getEffective(client, node)),
    );
  program
    .command('settings diff <from> [to]')
    .describe('Show what changed between two revisions. TO is the newest')
    .example('settings diff 41')
    .action((from: string, to: string | undefined, flags: CtlFlags) =>
      withFlags(flags, client => getDiff(client, from, to)),
    );
  program
    .command('settings history')
    .describe('Show the newest edits')
    .option('--limit', 'How many (20)')
    .action((flags: CtlFlags) =>
      withFlags(flags, client => getHistory(client, flags.limit)),
    );
}

function addSettingsEditCommands(program: Sade): void {
  addEditCommand(program, 'settings set <node> <key> <value>')
    .describe('Set one key of a node. VALUE is TOML, or else text')
    .example('settings set /billing/quotes retry.max_starts 2')
    .action((node: string, key: string, text: string, flags: CtlFlags) => {
      const value = parseSettingValue(text);
      return createParsedEdit({kind: EditKind.Set, node, key, value}, flags);
    });
  addEditCommand(program, 'settings unset <node> <key>')
    .describe('Let a node take one key from its parent again')
    .example('settings unset /billing/quotes retry.max_starts')
    .action((node: string, key: string, flags: CtlFlags) =>
      createParsedEdit({kind: EditKind.Unset, node, key}, flags),
    );
  addEditCommand(program, 'settings add <node> <kind>')
    .describe('Add a node. KIND is group, service or workers')
    .example('settings add /billing/quotes service')
    .action((node: string, kind: string, flags: CtlFlags) => ({
      command: parseNodeKind(kind).map(nodeKind =>
        createEditCommand({kind: EditKind.AddNode, node, nodeKind}, flags),
      ),
      flags,
    }));
  addEditCommand(program, 'settings remove <node>')
    .describe('Remove a node with all nodes below it')
    .example('settings remove /billing/old')
    .action((node: string, flags: CtlFlags) =>
      createParsedEdit({kind: EditKind.RemoveNode, node}, flags),
    );
  addEditCommand(program, 'settings apply <file>')
    .describe('Make the whole tree equal to a TOML file')
    .example('settings apply tree.toml')
    .action((file: string, flags: CtlFlags) => ({
      command: readDocument(file).map(document => {
        const nodes = Object.fromEntries(document.nodes);
        const change = {kind: EditKind.Apply, nodes} as const;
        return createEditCommand(change, flags, document.revision);
      }),
      flags,
    }));
}

function createParsedEdit(
  change: SettingsEdit,
  flags: CtlFlags,
): ParsedCommand {
  return withFlags(flags, createEditCommand(change, flags));
}

function parseNodeKind(text: string): Result<NodeKind, CtlProblem> {
  if (isNodeKind(text)) return Ok(text);
  return Err(
    createUsageProblem(
      'KIND',
      JSON.stringify(text),
      `expected ${Object.values(NodeKind).join(', ')}`,
      'A group holds other nodes; a service is named by its node.',
    ),
  );
}

function isNodeKind(text: string): text is NodeKind {
  return Object.values<string>(NodeKind).includes(text);
}

function addEditCommand(program: Sade, usage: string): Sade {
  return program
    .command(usage)
    .option('--revision', 'Lose to any edit after this revision (the newest)')
    .option('--by', 'Who edits, for the history (the user name)');
}

function addJobCommands(program: Sade): void {
  program
    .command('jobs list')
    .describe('List the jobs of all instances that can be reached')
    .option('--team', 'Only jobs of this team')
    .option('--state', 'Only running, complete or failed jobs')
    .example('jobs list --team billing --state running')
    .action((flags: CtlFlags) =>
      withFlags(flags, client => listJobs(client, flags)),
    );
  program
    .command('jobs show <job>')
    .describe('Show one job, named SESSION/KEY, and the state of each task')
    .example('jobs show batangas-1.e1.0123456789ab.4/quote-4711')
    .action((job: string, flags: CtlFlags) => withFlags(flags, showJob(job)));
  program
    .command('jobs cancel <job>')
    .describe('Cancel one job, named SESSION/KEY')
    .example('jobs cancel batangas-1.e1.0123456789ab.4/quote-4711')
    .action((job: string, flags: CtlFlags) => withFlags(flags, cancelJob(job)));
}

function addFleetCommands(program: Sade): void {
  program
    .command('instances')
    .describe('List the entry instances')
    .action((flags: CtlFlags) => withFlags(flags, listInstances));
  program
    .command('servers')
    .describe('List the backend servers and their holders')
    .action((flags: CtlFlags) => withFlags(flags, listServers));
  program
    .command('drain')
    .describe('Begin the planned stop of the named instance')
    .example('drain --instance http://10.0.0.5:7002')
    .action((flags: CtlFlags) => withFlags(flags, drain));
}

function withFlags(flags: CtlFlags, command: Command): ParsedCommand {
  return {command: Ok(command), flags};
}
