#!/usr/bin/env node
/** Command line of `goldcrestpier`, which runs one entry instance. */
import {loadProcessSettings} from '@goldcrestpier/settings';
import sade from 'sade';
import {startEntry} from '../start/index.js';

/** Exit codes, documented in docs/operators.md. */
enum ExitCode {
  Stopped = 0,
  Failure = 1,
  InvalidSettings = 2,
}

interface Flags {
  readonly settings?: string;
}

async function run(path: string): Promise<void> {
  const settings = loadProcessSettings(path);
  if (settings.isErr()) {
    const {title, message, hint} = settings.error;
    process.stderr.write(`${title}\n${message}\n${hint}\n`);
    process.exitCode = ExitCode.InvalidSettings;
    return;
  }
  const entry = await startEntry(settings.value);
  const stop = () => {
    void entry.stop().then(() => process.exit(ExitCode.Stopped));
  };
  // The platform may repeat SIGTERM, which must not interrupt the planned stop.
  // Only a second SIGINT, sent by a person, ends the process at once.
  process.on('SIGTERM', stop);
  process.once('SIGINT', stop);
}

sade('goldcrestpier', true)
  .version('0.1.0')
  .describe('Run one entry instance between callers and backend servers')
  .option('-s, --settings', 'The TOML file of this instance')
  .example('--settings /etc/goldcrestpier.toml')
  .action((flags: Flags) => {
    run(flags.settings ?? 'goldcrestpier.toml').catch((cause: unknown) => {
      process.stderr.write(`could not start: ${String(cause)}\n`);
      process.exitCode = ExitCode.Failure;
    });
  })
  .parse(process.argv);
