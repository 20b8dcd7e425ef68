/** Prints reports as plain lines, ratios side by side. */
import type {Report, Responses} from './report.js';
import type {Summary} from './summary.js';

/** Prints one report. */
export function printReport(report: Report): void {
  console.log(`\n${report.policy}`);
  console.log(`  jobs ${format(report.jobs)}; tasks ended ${report.tasks}`);
  console.log(`  starts of a task beyond its first: ${report.doubledStarts}`);
  printResponses('task', report.taskResponse);
  const {found, centralQueue} = report.meanWaitMs;
  console.log(
    `  task mean before its start: ${found.toFixed(1)} ms, ` +
      `central queue ${centralQueue.toFixed(1)} ms`,
  );
  printResponses('job', report.jobResponse);
  console.log(
    `  messages per answer ${report.messagesPerAnswer.toFixed(2)}: ` +
      format(report.messages),
  );
  console.log(
    `  wasted ${(report.wastedShare * 100).toFixed(2)}%: ` +
      format(report.wasted),
  );
  console.log(`  refusals: ${format(report.refusals)}`);
  console.log(`  retries: ${format(report.retries)}`);
  for (const [place, use] of report.instances.entries()) {
    console.log(
      `  instance ${place + 1}: ${(use.processorShare * 100).toFixed(1)}% ` +
        `of a core, ${use.residentMb.toFixed(0)} MB, ` +
        `${(use.peerBytesPerSecond / 1_024).toFixed(1)} KB/s with peers`,
    );
  }
  console.log(
    `  for one task ${report.processorMsPerTask.toFixed(2)} ms of processor ` +
      `time, ${report.peerBytesPerTask.toFixed(0)} bytes with peers`,
  );
  console.log(`  load of the machine: ${report.machineLoad.toFixed(1)}`);
}

/** Prints how two policies compare. */
export function printRatio(first: Report, second: Report): void {
  console.log(`\n${second.policy} to ${first.policy}, in the same run`);
  const pairs = [
    ['task', first.taskResponse, second.taskResponse],
    ['job', first.jobResponse, second.jobResponse],
  ] as const;
  for (const [name, a, b] of pairs) {
    console.log(
      `  ${name} response: mean ${(b.found.mean / a.found.mean).toFixed(3)}, ` +
        `p99 ${(b.found.p99 / a.found.p99).toFixed(3)}`,
    );
  }
}

function printResponses(name: string, responses: Responses): void {
  console.log(`  ${name} response in ms: ${describe(responses.found)}`);
  console.log(`    central queue: ${describe(responses.centralQueue)}`);
  console.log(`    fastest server: ${describe(responses.fastestServer)}`);
  const {mean, p50, p95, p99} = responses.toCentralQueue;
  console.log(
    `    to the central queue: mean ${mean.toFixed(3)}, ` +
      `p50 ${p50.toFixed(3)}, p95 ${p95.toFixed(3)}, p99 ${p99.toFixed(3)}`,
  );
}

function describe({count, mean, p50, p95, p99}: Summary): string {
  const figures = [mean, p50, p95, p99].map(each => each.toFixed(1));
  return `mean, p50, p95, p99 ${figures.join(', ')} of ${count}`;
}

function format(counts: Readonly<Record<string, number>>): string {
  const parts = Object.entries(counts).map(([name, n]) => `${name} ${n}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}
