import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerFailureKind} from '@goldcrestpier/peers';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {judgePresence} from '../src/holder/job_presence.js';
import {
  JobInquiries,
  type JobInquiriesOptions,
} from '../src/instance/job_inquiries.js';
import {
  InquiryScope,
  JobAction,
  jobInquirySchema,
  JobPresence,
  type JobInquiry,
  type ZoneCallFailure,
  type ZoneClient,
} from '../src/protocol/index.js';

const {Known, Unknown, Uncertain} = JobPresence;
const JOB = '0123456789abcdef';
/** Enough for one inquiry only, and for a second one. */
const ONE_INQUIRY_MS = 50;
const TWO_INQUIRIES_MS = 150;

type Answer = Result<JobPresence, ZoneCallFailure>;

/** A peer that gives these answers one after the other, the last one again. */
class FakeHolder {
  readonly received: JobInquiry[] = [];
  private readonly answers: readonly Answer[];

  constructor(...answers: readonly (JobPresence | Answer)[]) {
    this.answers = answers.map(answer =>
      typeof answer === 'string' ? Ok(answer) : answer,
    );
  }

  get client(): ZoneClient {
    const inquire = (inquiry: JobInquiry) => {
      const index = Math.min(this.received.length, this.answers.length - 1);
      this.received.push(jobInquirySchema.parse(inquiry));
      return Promise.resolve(this.answers[index]);
    };
    return {inquire} as unknown as ZoneClient;
  }
}

/** A job without callers here, and no holder that can be reached. */
function createInquiries(
  changes: Partial<JobInquiriesOptions> = {},
): JobInquiries {
  return new JobInquiries({
    owner: {hasCallers: () => false, cancelForAllCallers: () => false},
    findHolder: () => undefined,
    findHolderClient: () => undefined,
    listZoneClients: () => [],
    ...changes,
  });
}

/** Inquiries of a holder that judges the job as `presence`. */
function createAtHolder(
  presence: JobPresence,
  others: readonly (FakeHolder | undefined)[],
): JobInquiries {
  return createInquiries({
    findHolder: () => ({inquire: () => presence}),
    listZoneClients: () => others.map(other => other?.client),
  });
}

// Guards against 410 for a job that another instance of the zone took.
test('a job without callers here is cancelled by the holder of the zone', async () => {
  const holder = new FakeHolder(Known);
  const inquiries = createInquiries({findHolderClient: () => holder.client});
  assert.equal(await inquiries.cancel(JOB, ONE_INQUIRY_MS), Known);
  assert.equal(await inquiries.find(JOB, ONE_INQUIRY_MS), Known);
  const scope = InquiryScope.AllZones;
  assert.deepEqual(holder.received, [
    {jobId: JOB, action: JobAction.Cancel, scope},
    {jobId: JOB, action: JobAction.Find, scope},
  ]);
});

test('a holder asks the holders of the other zones for a job that it does not know', async () => {
  const others = [new FakeHolder(Unknown), new FakeHolder(Known)];
  const inquiries = createAtHolder(Unknown, others);
  assert.equal(await inquiries.cancel(JOB, ONE_INQUIRY_MS), Known);
  const scope = InquiryScope.Zone;
  const expected = [{jobId: JOB, action: JobAction.Cancel, scope}];
  for (const {received} of others) assert.deepEqual(received, expected);
});

test('a holder that is asked for its zone only asks no other zone', async () => {
  const other = new FakeHolder(Known);
  const inquiries = createAtHolder(Unknown, [other]);
  const inquiry = {jobId: JOB, action: JobAction.Cancel};
  const scope = InquiryScope.Zone;
  assert.equal(await inquiries.answer({...inquiry, scope}), Unknown);
  assert.deepEqual(other.received, []);
});

test('a job is unknown only when all holders have answered that', async () => {
  const other = new FakeHolder(Unknown);
  const all = createAtHolder(Unknown, [other, other]);
  assert.equal(await all.cancel(JOB, ONE_INQUIRY_MS), Unknown);
  const isRefused = Err({kind: PeerFailureKind.Refused} as ZoneCallFailure);
  for (const failing of [undefined, new FakeHolder(isRefused)]) {
    const some = createAtHolder(Unknown, [other, failing]);
    assert.equal(await some.cancel(JOB, ONE_INQUIRY_MS), Uncertain);
  }
});

test('an instance that is not the holder does not say that a job is unknown', async () => {
  const inquiries = createInquiries();
  const inquiry = {jobId: JOB, action: JobAction.Find};
  const scope = InquiryScope.AllZones;
  assert.equal(await inquiries.answer({...inquiry, scope}), Uncertain);
});

test('an inquiry is repeated until its answer is certain or its time is over', async () => {
  const settling = new FakeHolder(Uncertain, Known);
  const found = createInquiries({findHolderClient: () => settling.client});
  assert.equal(await found.find(JOB, TWO_INQUIRIES_MS), Known);
  const startedAt = readClock();
  const none = createInquiries();
  assert.equal(await none.find(JOB, TWO_INQUIRIES_MS), Uncertain);
  const tookMs: Millis = readClock() - startedAt;
  assert.ok(tookMs < TWO_INQUIRIES_MS + 100, `${tookMs} ms`);
});

// Guards against a job that goes on for a caller at another instance.
test('a job that is cancelled for its callers here is cancelled at the holder as well', async () => {
  const holder = new FakeHolder(Known);
  const inquiries = createInquiries({
    owner: {hasCallers: () => true, cancelForAllCallers: () => true},
    findHolderClient: () => holder.client,
  });
  assert.equal(await inquiries.find(JOB, ONE_INQUIRY_MS), Known);
  assert.equal(await inquiries.cancel(JOB, ONE_INQUIRY_MS), Known);
  const actions = holder.received.map(({action}) => action);
  assert.deepEqual(actions, [JobAction.Cancel]);
});

test('a new holder does not say that a job is unknown', () => {
  assert.equal(judgePresence(false, 500), Uncertain);
  assert.equal(judgePresence(true, 500), Known);
  assert.equal(judgePresence(false, 1_500), Unknown);
});
