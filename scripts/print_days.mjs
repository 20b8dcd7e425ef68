// Prints the days of journal entries as rows of a Markdown table:
// node scripts/print_days.mjs journal/ENTRY.json...
import {readFileSync} from 'node:fs';

const PRICES_SHOWN = 3;

/** Formats the highest prices of a day, from rows of name, amount and price. */
function formatPrices(rows) {
  return [...rows]
    .sort(([, , one], [, , other]) => other - one)
    .slice(0, PRICES_SHOWN)
    .map(([name, , price]) => `${name} ${price.toFixed(3)}`)
    .join(', ');
}

function formatDay(day) {
  const {name, G: worth, served, refused, failed, cpu_s: seconds} = day;
  const broken = [...Object.keys(day.rules ?? {}), ...day.short];
  const cells = [
    name,
    worth?.toFixed(3) ?? '-',
    served?.toFixed(3) ?? '-',
    `${refused?.toFixed(3)} / ${failed?.toFixed(3)}`,
    broken
      .map(each => (typeof each === 'string' ? each : JSON.stringify(each)))
      .join('; ') || 'none',
    formatPrices(day.prices ?? []),
    `${seconds ?? '-'}`,
    `${Math.round((day.kb_an_instance ?? 0) / 1024)}`,
  ];
  return `| ${cells.join(' | ')} |`;
}

console.log(
  '| day | worth | served | refused / failed | broken or missed | dearest prices | processor s | MB an instance |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const file of process.argv.slice(2)) {
  const {days = []} = JSON.parse(readFileSync(file, 'utf8'));
  for (const day of days) console.log(formatDay(day));
}
