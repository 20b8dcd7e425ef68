/** Starts each task on the listed runner with the fewest in flight. */
import {createRunnerClient, StartKind} from '@goldcrestpier/backends';
import type {TaskSink} from '@goldcrestpier/jobs';
import {
  BackendKind,
  createFailure,
  FailureCode,
  OutcomeKind,
  type PlacedTask,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import {readClock, sleep, type Lifecycle} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';

const RETRY_MS = 20;

interface Runner {
  readonly name: string;
  readonly address: string;
  readonly service: string;
  inFlight: number;
}

/** What the direct placement is given. */
export interface DirectOptions {
  readonly instanceList: string;
  readonly lifecycle: Lifecycle;
  readonly onStart: (id: string) => void;
  readonly onEnd: (id: string, outcome: TaskOutcome) => void;
}

interface ListedTarget {
  readonly targets: readonly string[];
  readonly labels: Readonly<Record<string, string>>;
}

/** Creates a placement without peers. */
export function createDirectPlacement(options: DirectOptions): TaskSink {
  const client = createRunnerClient({lifecycle: options.lifecycle});
  let runners: Runner[] = [];
  const place = async (task: PlacedTask): Promise<TaskOutcome> => {
    while (readClock() < task.deadlineAt) {
      if (runners.length === 0) {
        runners = await listRunners(options.instanceList);
      }
      const runner = pick(runners, task);
      if (runner !== undefined) {
        runner.inFlight += 1;
        options.onStart(task.id);
        const outcome = await client.start(
          runner,
          {job: task.job, task: task.id, payload: task.payload},
          task.deadlineAt - readClock(),
          options.lifecycle.signal,
        );
        runner.inFlight -= 1;
        switch (outcome.kind) {
          case StartKind.Done:
            return {
              kind: OutcomeKind.Done,
              result: outcome.result,
              server: runner.name,
              runMs: outcome.runMs,
            };
          case StartKind.Busy:
          case StartKind.Leaving:
          case StartKind.Refused:
            break;
          default:
            return {
              kind: OutcomeKind.Failed,
              failure: createFailure(FailureCode.OutcomeUnknown, {
                server: runner.name,
              }),
            };
        }
      }
      await sleep(RETRY_MS, options.lifecycle.signal);
    }
    const deadlineMs = 0;
    return {
      kind: OutcomeKind.Failed,
      failure: createFailure(FailureCode.DeadlinePassed, {deadlineMs}),
    };
  };
  return {
    enqueue(tasks) {
      for (const task of tasks) {
        void place(task).then(outcome => options.onEnd(task.id, outcome));
      }
      return Ok(undefined);
    },
    cancel: () => undefined,
  };
}

async function listRunners(url: string): Promise<Runner[]> {
  try {
    const response = await fetch(url);
    const targets = (await response.json()) as ListedTarget[];
    return targets
      .filter(({labels}) => labels['role'] === 'runner')
      .map(({targets: [address], labels}) => ({
        name: labels['name'] ?? '',
        address: address ?? '',
        service: labels['service'] ?? '',
        inFlight: 0,
      }));
  } catch {
    return [];
  }
}

function pick(runners: Runner[], {target}: PlacedTask): Runner | undefined {
  if (target.kind !== BackendKind.Runner) return undefined;
  return runners
    .filter(({service}) => service === target.service)
    .sort((a, b) => a.inFlight - b.inFlight)[0];
}
