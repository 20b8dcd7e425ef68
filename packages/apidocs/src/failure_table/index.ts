/** Table of failures in docs/api.md, generated from the failure catalogue. */
import {FailureCode, failureCatalogue} from '@goldcrestpier/protocol';

const BEGIN_MARKER = '<!-- failures: written by npm run docs -->';
const END_MARKER = '<!-- end of failures -->';
const HEADINGS = ['code', 'status', 'ran', 'final', 'title', 'hint'];

/** Renders the table as Markdown, with one row for each failure. */
export function renderFailureTable(): string {
  const rows = Object.values(FailureCode).map(code => {
    const {status, ran, final, title, hint} = failureCatalogue[code];
    const cells = [`\`${code}\``, status, `\`${ran}\``, final ? 'yes' : 'no'];
    return [...cells, title, hint].map(String);
  });
  const separator = HEADINGS.map(() => '---');
  return [HEADINGS, separator, ...rows]
    .map(cells => `| ${cells.join(' | ')} |`)
    .join('\n');
}

/**
 * Returns the page with the text between the markers replaced by the current
 * table. Throws if a marker is missing.
 */
export function replaceFailureTable(page: string): string {
  const start = page.indexOf(BEGIN_MARKER) + BEGIN_MARKER.length;
  const end = page.indexOf(END_MARKER);
  if (start < BEGIN_MARKER.length || end < start) {
    throw new Error(`the page lacks "${BEGIN_MARKER}" or "${END_MARKER}"`);
  }
  return `${page.slice(0, start)}\n\n${renderFailureTable()}\n\n${page.slice(end)}`;
}
