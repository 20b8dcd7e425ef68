/** Launches processes that host stand-ins, and reads their addresses. */
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Lifecycle} from '@goldcrestpier/runtime';
import {
  hostReportSchema,
  type HostedStandin,
  type StandinPlan,
} from '../host/index.js';
import {launchProcess, type LaunchedProcess} from './launched_process.js';

const HOST_FILE = fileURLToPath(new URL('../bin/standins.js', import.meta.url));

/** A process and the stand-ins that it hosts. */
export interface StandinProcess {
  readonly process: LaunchedProcess;
  readonly standins: readonly HostedStandin[];
}

/** Launches one process that hosts `standins` until `lifecycle` closes. */
export async function launchStandins(
  name: string,
  standins: readonly StandinPlan[],
  folder: string,
  lifecycle: Lifecycle,
): Promise<StandinProcess> {
  const options = {
    name,
    file: HOST_FILE,
    args: [JSON.stringify({standins})],
    logFile: join(folder, `${name}.log`),
  };
  const launched = launchProcess(options, lifecycle, 'pipe');
  const line = await launched.readLine();
  if (line === undefined) {
    throw new Error(`${name} did not start:\n${launched.readLogTail()}`);
  }
  const report = hostReportSchema.parse(JSON.parse(line));
  return {process: launched, standins: report.standins};
}
