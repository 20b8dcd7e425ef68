/** The table of failures in docs/api.md, from the catalogue. */
import {FailureCode, failureCatalogue} from '@goldcrestpier/protocol';

const BEGIN = '<!-- failures: written by npm run docs -->';
const END = '<!-- end of failures -->';
const HEADINGS = ['code', 'status', 'ran', 'final', 'title', 'hint'];

/** The table as Markdown, one line for each failure. */
export function renderFailureTable(): string {
  const rows = Object.values(FailureCode).map(code => {
    const {status, ran, final, title, hint} = failureCatalogue[code];
    const cells = [`\`${code}\``, status, `\`${ran}\``, final ? 'yes' : 'no'];
    return [...cells, title, hint].map(String);
  });
  const line = HEADINGS.map(() => '---');
  return [HEADINGS, line, ...rows]
    .map(cells => `| ${cells.join(' | ')} |`)
    .join('\n');
}

/** The page with its table of failures put in place of the old one. */
export function replaceFailureTable(page: string): string {
  const from = page.indexOf(BEGIN) + BEGIN.length;
  const to = page.indexOf(END);
  if (from < BEGIN.length || to < from) {
    throw new Error(`the page lacks "${BEGIN}" or "${END}"`);
  }
  return `${page.slice(0, from)}\n\n${renderFailureTable()}\n\n${page.slice(to)}`;
}
