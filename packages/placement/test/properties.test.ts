import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  provesNotRun,
  StartKind,
  type RunnerClient,
  type StartOutcome,
} from '@goldcrestpier/backends';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind, OutcomeKind, RunStatus} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {defaultSettings} from '@goldcrestpier/settings';
import fc from 'fast-check';
import {POOL} from './fixtures/fake_runner.js';
import {createTasks, openFleet, waitUntil} from './fixtures/fleet.js';

const SEED = 20_262;

const outcomes: ReadonlyArray<StartOutcome> = [
  {kind: StartKind.Done, result: 1, runMs: 1},
  {kind: StartKind.Failed, reason: 'no', runMs: 1},
  {kind: StartKind.Busy},
  {kind: StartKind.Leaving},
  {kind: StartKind.Refused, reason: 'closed'},
  {kind: StartKind.Unknown, reason: 'reset'},
  {kind: StartKind.LeaseLost},
  {kind: StartKind.Stopped, sent: true},
  {kind: StartKind.Stopped, sent: false},
];

interface ObservedStart {
  readonly task: string;
  readonly outcome: StartOutcome;
}

/** Ends starts with the scripted outcomes in order, then successfully. */
function createScriptedRunners(
  script: readonly StartOutcome[],
  observed: ObservedStart[],
): RunnerClient {
  return {
    async start(_server, task): Promise<StartOutcome> {
      const next = script[observed.length];
      const outcome = next ?? {kind: StartKind.Done, result: 1, runMs: 1};
      observed.push({task: task.task, outcome});
      await new Promise(resolve => setTimeout(resolve, observed.length % 4));
      return outcome;
    },
  };
}

function createServer(index: number): Server {
  return {
    name: `r${index}`,
    kind: BackendKind.Runner,
    zone: 'zone-a',
    pool: POOL,
    address: `127.0.0.1:${index + 1}`,
    state: ServerState.Live,
    slots: 2,
    processors: 0,
    memoryMb: 0,
    accelerators: 0,
    rack: undefined,
  };
}

test('never exceeds the allowed starts of a task that may have run', async () => {
  const script = fc.array(fc.constantFrom(...outcomes), {maxLength: 25});
  await fc.assert(
    fc.asyncProperty(script, fc.boolean(), async (list, repeatable) => {
      const observed: ObservedStart[] = [];
      const servers = [0, 1, 2].map(createServer);
      const fleet = openFleet({
        servers: () => servers,
        zones: ['zone-a', 'zone-a'],
        runners: createScriptedRunners(list, observed),
      });
      // Long enough for tasks that can still run; the rest end without a start.
      const deadlineAt = readClock() + 400;
      const tasks = createTasks(10, {repeatable, deadlineAt});
      const [owner] = fleet.placements;
      assert.ok(owner?.enqueue(tasks, readClock()).isOk());
      await waitUntil(() => tasks.every(({id}) => fleet.ends.has(id)));
      await fleet.close();
      for (const {id} of tasks) {
        assert.equal(fleet.ends.get(id)?.length, 1);
        const starts = observed.filter(({task}) => task === id);
        const mayHaveRun = starts.filter(({outcome}) => !provesNotRun(outcome));
        const {maxStarts} = defaultSettings.retry;
        assert.ok(mayHaveRun.length <= (repeatable ? maxStarts : 1));
        const [end] = fleet.ends.get(id) ?? [];
        if (end?.kind !== OutcomeKind.Failed) continue;
        if (end.failure.ran === RunStatus.NotRun)
          assert.equal(mayHaveRun.length, 0);
      }
    }),
    {seed: SEED, numRuns: 25},
  );
});
