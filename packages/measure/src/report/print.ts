/** Prints reports as plain text. */
import type {Report, ResponseTimes} from './report.js';
import type {Summary} from './summary.js';

/** Prints one report. */
export function printReport(report: Report): void {
  console.log(`\n${report.policy}`);
  console.log(
    `  jobs ${formatCounts(report.jobs)}; tasks finished ${report.tasks}`,
  );
  console.log(`  duplicate task starts: ${report.doubledStarts}`);
  printResponses('task', report.taskResponse);
  const {found, centralQueue} = report.meanWaitMs;
  console.log(
    `  mean wait of a task before its start: ${found.toFixed(1)} ms, ` +
      `central queue ${centralQueue.toFixed(1)} ms`,
  );
  printResponses('job', report.jobResponse);
  console.log(
    `  messages per answer ${report.messagesPerAnswer.toFixed(2)}: ` +
      formatCounts(report.messages),
  );
  console.log(
    `  wasted ${(report.wastedShare * 100).toFixed(2)}%: ` +
      formatCounts(report.wasted),
  );
  console.log(`  refusals: ${formatCounts(report.refusals)}`);
  console.log(`  retries: ${formatCounts(report.retries)}`);
  for (const [index, usage] of report.instances.entries()) {
    console.log(
      `  instance ${index + 1}: ${(usage.processorShare * 100).toFixed(1)}% ` +
        `of a core, ${usage.residentMb.toFixed(0)} MB, ` +
        `${(usage.peerBytesPerSecond / 1_024).toFixed(1)} KB/s with peers`,
    );
  }
  console.log(
    `  per task ${report.processorMsPerTask.toFixed(2)} ms of processor ` +
      `time, ${report.peerBytesPerTask.toFixed(0)} bytes with peers`,
  );
  console.log(
    `  load average of the machine: ${report.machineLoad.toFixed(1)}`,
  );
}

/** Prints the response times of the second policy relative to the first. */
export function printRatios(first: Report, second: Report): void {
  console.log(
    `\n${second.policy} relative to ${first.policy}, in the same run`,
  );
  const pairs = [
    ['task', first.taskResponse, second.taskResponse],
    ['job', first.jobResponse, second.jobResponse],
  ] as const;
  for (const [name, firstTimes, secondTimes] of pairs) {
    console.log(
      `  ${name} response: mean ${(secondTimes.found.mean / firstTimes.found.mean).toFixed(3)}, ` +
        `p99 ${(secondTimes.found.p99 / firstTimes.found.p99).toFixed(3)}`,
    );
  }
}

function printResponses(name: string, responses: ResponseTimes): void {
  console.log(`  ${name} response in ms: ${formatSummary(responses.found)}`);
  console.log(`    central queue: ${formatSummary(responses.centralQueue)}`);
  console.log(`    fastest server: ${formatSummary(responses.fastestServer)}`);
  const {mean, p50, p95, p99} = responses.toCentralQueue;
  console.log(
    `    relative to the central queue: mean ${mean.toFixed(3)}, ` +
      `p50 ${p50.toFixed(3)}, p95 ${p95.toFixed(3)}, p99 ${p99.toFixed(3)}`,
  );
}

function formatSummary({count, mean, p50, p95, p99}: Summary): string {
  const figures = [mean, p50, p95, p99].map(each => each.toFixed(1));
  return `mean, p50, p95, p99 ${figures.join(', ')} of ${count}`;
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  const parts = Object.entries(counts).map(([name, n]) => `${name} ${n}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}
