/** The generated files and where they stand. */
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {replaceFailureTable} from '../failure_table/index.js';
import {createOpenApiDocument} from '../openapi/index.js';

const JSON_INDENT = 2;
const DOCS = new URL('../../../../../docs/', import.meta.url);

/** One generated file: where it stands, and what it should hold. */
export interface GeneratedFile {
  readonly path: string;
  readonly content: string;
}

/** Everything that is generated, as it should be now. */
export function createGeneratedFiles(): GeneratedFile[] {
  const api = fileURLToPath(new URL('api.md', DOCS));
  const openApi = JSON.stringify(
    createOpenApiDocument(),
    undefined,
    JSON_INDENT,
  );
  return [
    {path: api, content: replaceFailureTable(readFileSync(api, 'utf8'))},
    {
      path: fileURLToPath(new URL('openapi.json', DOCS)),
      content: `${openApi}\n`,
    },
  ];
}

/** Writes all of it. */
export function writeGeneratedFiles(): void {
  for (const {path, content} of createGeneratedFiles()) {
    writeFileSync(path, content);
  }
}
