/** Responds to a caller with the state of a job. */
import type {ServerResponse} from 'node:http';
import {respondJson} from '@goldcrestpier/http';
import {JobState, type JobAnswer} from '@goldcrestpier/protocol';

const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;

/** Sends the job's answer with status 200 if it has ended, 202 if it runs. */
export function respondJob(response: ServerResponse, answer: JobAnswer): void {
  const isRunning = answer.state === JobState.Running;
  respondJson(response, isRunning ? STATUS_ACCEPTED : STATUS_OK, answer);
}
