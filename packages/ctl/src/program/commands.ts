/** The command line: commands, arguments and options, on sade. */
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
  createEdit,
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

/** A command with its options, or what is wrong with its arguments. */
export interface ChosenCommand {
  readonly command: Result<Command, CtlProblem>;
  readonly flags: CtlFlags;
}

/** Describes the command line; every action answers a `ChosenCommand`. */
export function createCommandLine(): Sade {
  const line = sade(PROGRAM)
    .version(VERSION)
    .option('--instance', "Address of an operators' listener, http://host:port")
    .option('--token-file', "File with the operators' token")
    .option('--json', 'Print JSON for programs');
  addSettingsReads(line);
  addSettingsEdits(line);
  addJobs(line);
  addFleet(line);
  return line;
}

function addSettingsReads(line: Sade): void {
  line
    .command('settings get [node]')
    .describe(
      'Show what each node sets itself. Or only one node. The root is "/"',
    )
    .option('--toml', 'Print the document that "settings apply" reads')
    .example('settings get /billing/quotes')
    .action((node: string | undefined, flags: CtlFlags) =>
      choose(flags, calls => getSettings(calls, node, flags.toml)),
    );
  line
    .command('settings effective <node>')
    .describe('Show every setting in force at a node and where it comes from')
    .example('settings effective /billing/quotes')
    .action((node: string, flags: CtlFlags) =>
      choose(flags, calls => getEffective(calls, node)),
    );
  line
    .command('settings diff <from> [to]')
    .describe('Show what changed between two revisions. TO is the newest')
    .example('settings diff 41')
    .action((from: string, to: string | undefined, flags: CtlFlags) =>
      choose(flags, calls => getDiff(calls, from, to)),
    );
  line
    .command('settings history')
    .describe('Show the newest edits')
    .option('--limit', 'How many (20)')
    .action((flags: CtlFlags) =>
      choose(flags, calls => getHistory(calls, flags.limit)),
    );
}

function addSettingsEdits(line: Sade): void {
  addEdit(line, 'settings set <node> <key> <value>')
    .describe('Set one key of a node. VALUE is TOML, or else text')
    .example('settings set /billing/quotes retry.max_starts 2')
    .action((node: string, key: string, text: string, flags: CtlFlags) => {
      const value = parseSettingValue(text);
      return edit({kind: EditKind.Set, node, key, value}, flags);
    });
  addEdit(line, 'settings unset <node> <key>')
    .describe('Let a node take one key from its parent again')
    .example('settings unset /billing/quotes retry.max_starts')
    .action((node: string, key: string, flags: CtlFlags) =>
      edit({kind: EditKind.Unset, node, key}, flags),
    );
  addEdit(line, 'settings add <node> <kind>')
    .describe('Add a node. KIND is group, service or workers')
    .example('settings add /billing/quotes service')
    .action((node: string, kind: string, flags: CtlFlags) => ({
      command: readNodeKind(kind).map(nodeKind =>
        createEdit({kind: EditKind.AddNode, node, nodeKind}, flags),
      ),
      flags,
    }));
  addEdit(line, 'settings remove <node>')
    .describe('Remove a node with all nodes below it')
    .example('settings remove /billing/old')
    .action((node: string, flags: CtlFlags) =>
      edit({kind: EditKind.RemoveNode, node}, flags),
    );
  addEdit(line, 'settings apply <file>')
    .describe('Make the whole tree equal to a TOML file')
    .example('settings apply tree.toml')
    .action((file: string, flags: CtlFlags) => ({
      command: readDocument(file).map(document => {
        const nodes = Object.fromEntries(document.nodes);
        const change = {kind: EditKind.Apply, nodes} as const;
        return createEdit(change, flags, document.revision);
      }),
      flags,
    }));
}

function edit(change: SettingsEdit, flags: CtlFlags): ChosenCommand {
  return choose(flags, createEdit(change, flags));
}

function readNodeKind(text: string): Result<NodeKind, CtlProblem> {
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

function addEdit(line: Sade, usage: string): Sade {
  return line
    .command(usage)
    .option('--revision', 'Lose to any edit after this revision (the newest)')
    .option('--by', 'Who edits, for the history (the user name)');
}

function addJobs(line: Sade): void {
  line
    .command('jobs list')
    .describe('List the jobs of all instances that can be reached')
    .option('--team', 'Only jobs of this team')
    .option('--state', 'Only running, complete or failed jobs')
    .example('jobs list --team billing --state running')
    .action((flags: CtlFlags) =>
      choose(flags, calls => listJobs(calls, flags)),
    );
  line
    .command('jobs show <job>')
    .describe('Show one job, named SESSION/KEY, and the state of each task')
    .example('jobs show batangas-1.e1.0123456789ab.4/quote-4711')
    .action((job: string, flags: CtlFlags) => choose(flags, showJob(job)));
  line
    .command('jobs cancel <job>')
    .describe('Cancel one job, named SESSION/KEY')
    .example('jobs cancel batangas-1.e1.0123456789ab.4/quote-4711')
    .action((job: string, flags: CtlFlags) => choose(flags, cancelJob(job)));
}

function addFleet(line: Sade): void {
  line
    .command('instances')
    .describe('List the entry instances')
    .action((flags: CtlFlags) => choose(flags, listInstances));
  line
    .command('servers')
    .describe('List the backend servers and their holders')
    .action((flags: CtlFlags) => choose(flags, listServers));
  line
    .command('drain')
    .describe('Begin the planned stop of the named instance')
    .example('drain --instance http://10.0.0.5:7002')
    .action((flags: CtlFlags) => choose(flags, drain));
}

function choose(flags: CtlFlags, command: Command): ChosenCommand {
  return {command: Ok(command), flags};
}
