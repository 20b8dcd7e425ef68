/** Text tables with aligned columns, without borders and colours. */
import Table from 'cli-table3';

const NO_BORDERS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** Renders a table with a line of headings, or `(none)` if it has no rows. */
export function renderTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  if (rows.length === 0) return '(none)';
  const table = new Table({
    head: [...headings],
    chars: NO_BORDERS,
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  table.push(...rows.map(row => [...row]));
  return table
    .toString()
    .split('\n')
    .map(line => line.trimEnd())
    .join('\n');
}
