/** Answers with a job. */
import type {ServerResponse} from 'node:http';
import {respondJson} from '@goldcrestpier/http';
import {JobState, type JobAnswer} from '@goldcrestpier/protocol';

const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;

/** Answers with a job: 200 when it has ended, 202 while it runs. */
export function respondJob(response: ServerResponse, answer: JobAnswer): void {
  const running = answer.state === JobState.Running;
  respondJson(response, running ? STATUS_ACCEPTED : STATUS_OK, answer);
}
