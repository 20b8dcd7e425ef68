/** Commands that list, show and cancel jobs. */
import {fleetJobsSchema} from '@goldcrestpier/operators';
import {
  formatJobId,
  JobState,
  jobAnswerSchema,
  keySchema,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import type {OperatorsClient} from '../calls/index.js';
import {createUsageProblem, type CtlProblem} from '../failures/index.js';
import {formatSeconds, renderTable} from '../output/index.js';
import type {Command, CommandOutput, CommandResult} from './command.js';

/** Options of `jobs list`. */
export interface JobFilter {
  readonly team?: string;
  readonly state?: string;
}

/** Command `jobs list`. */
export async function listJobs(
  client: OperatorsClient,
  filter: JobFilter,
): CommandResult {
  const state = filter.state;
  if (state !== undefined && !isJobState(state)) {
    const expected = `expected ${Object.values(JobState).join(', ')}`;
    const hint = 'Leave it out to list jobs in every state.';
    const found = JSON.stringify(state);
    return Err(createUsageProblem('--state', found, expected, hint));
  }
  const response = await client.call('GET', 'jobs', fleetJobsSchema);
  return response.map(({jobs, unreached}) => {
    const matching = jobs.filter(
      job =>
        (filter.team === undefined || job.team === filter.team) &&
        (state === undefined || job.state === state),
    );
    const rows = matching.map(job => [
      formatJobId(job.session, job.key),
      job.team,
      job.state,
      `${job.done}/${job.tasks}`,
      String(job.failed),
      formatSeconds(job.ageMs),
    ]);
    const headings = ['JOB', 'TEAM', 'STATE', 'DONE', 'FAILED', 'AGE'];
    return {
      data: {jobs: matching, unreached},
      text: renderTable(headings, rows),
      unreached,
    };
  });
}

/** Command `jobs show SESSION/KEY`. */
export function showJob(job: string): Command {
  return client => requestJob(client, 'GET', job);
}

/** Command `jobs cancel SESSION/KEY`. */
export function cancelJob(job: string): Command {
  return client => requestJob(client, 'DELETE', job);
}

async function requestJob(
  client: OperatorsClient,
  method: 'GET' | 'DELETE',
  job: string,
): CommandResult {
  const path = parseJobPath(job);
  if (path.isErr()) return path;
  const response = await client.call(method, path.value, jobAnswerSchema);
  return response.map(renderJob);
}

function parseJobPath(job: string): Result<string, CtlProblem> {
  const [session = '', key = '', ...rest] = job.split('/');
  const hasSession = session !== '' && rest.length === 0;
  if (hasSession && keySchema.safeParse(key).success) {
    return Ok(`jobs/${encodeURIComponent(session)}/${key}`);
  }
  return Err(
    createUsageProblem(
      'JOB',
      JSON.stringify(job),
      'expected a session and a key, "SESSION/KEY"',
      'Take it from "goldcrestpierctl jobs list".',
    ),
  );
}

function renderJob(data: JobAnswer): CommandOutput {
  const rows = data.tasks.map(({index, state, failure}) => [
    String(index),
    state,
    failure === undefined ? '' : `${failure.code} (${failure.ran})`,
    failure?.message ?? '',
  ]);
  const name = formatJobId(data.session, data.key);
  const lines = [`${name}, attempt ${data.attempt}: ${data.state}`];
  if (data.failure !== undefined) {
    const {code, ran, message} = data.failure;
    lines.push(`${code} (${ran}): ${message}`);
  }
  lines.push(renderTable(['TASK', 'STATE', 'FAILURE', 'MESSAGE'], rows));
  return {data, text: lines.join('\n')};
}

function isJobState(text: string): text is JobState {
  return Object.values<string>(JobState).includes(text);
}
