import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  provesNotRun,
  StartKind,
  type RunnerClient,
  type StartOutcome,
} from '@goldcrestpier/backends';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind, OutcomeKind, Ran} from '@goldcrestpier/protocol';
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

interface SeenStart {
  readonly task: string;
  readonly outcome: StartOutcome;
}

/** Ends starts as the list says, and well when the list is used up. */
function createScriptedRunners(
  script: readonly StartOutcome[],
  seen: SeenStart[],
): RunnerClient {
  return {
    async start(_server, task): Promise<StartOutcome> {
      const next = script[seen.length];
      const outcome = next ?? {kind: StartKind.Done, result: 1, runMs: 1};
      seen.push({task: task.task, outcome});
      await new Promise(resolve => setTimeout(resolve, seen.length % 4));
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

test('whatever starts end in, no task starts twice that may have run', async () => {
  const script = fc.array(fc.constantFrom(...outcomes), {maxLength: 25});
  await fc.assert(
    fc.asyncProperty(script, fc.boolean(), async (list, repeatable) => {
      const seen: SeenStart[] = [];
      const servers = [0, 1, 2].map(createServer);
      const fleet = openFleet({
        servers: () => servers,
        zones: ['zone-a', 'zone-a'],
        runners: createScriptedRunners(list, seen),
      });
      // Enough for what can still run; the rest ends without a start.
      const deadlineAt = readClock() + 400;
      const tasks = createTasks(10, {repeatable, deadlineAt});
      const [owner] = fleet.placements;
      assert.ok(owner?.enqueue(tasks, readClock()).isOk());
      await waitUntil(() => tasks.every(({id}) => fleet.ends.has(id)));
      await fleet.close();
      for (const {id} of tasks) {
        assert.equal(fleet.ends.get(id)?.length, 1);
        const starts = seen.filter(({task}) => task === id);
        const mayHaveRun = starts.filter(({outcome}) => !provesNotRun(outcome));
        const {maxStarts} = defaultSettings.retry;
        assert.ok(mayHaveRun.length <= (repeatable ? maxStarts : 1));
        const [end] = fleet.ends.get(id) ?? [];
        if (end?.kind !== OutcomeKind.Failed) continue;
        if (end.failure.ran === Ran.NotRun) assert.equal(mayHaveRun.length, 0);
      }
    }),
    {seed: SEED, numRuns: 25},
  );
});
