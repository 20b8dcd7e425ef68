/** Content and location of the generated files. */
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {replaceFailureTable} from '../failure_table/index.js';
import {createOpenApiDocument} from '../openapi/index.js';

const JSON_INDENT = 2;
const DOCS_URL = new URL('../../../../../docs/', import.meta.url);

/** A generated file with its absolute path and its current content. */
export interface GeneratedFile {
  readonly path: string;
  readonly content: string;
}

/** Generates the content of all files, without writing them. */
export function createGeneratedFiles(): GeneratedFile[] {
  const apiPath = fileURLToPath(new URL('api.md', DOCS_URL));
  const openApiJson = JSON.stringify(
    createOpenApiDocument(),
    undefined,
    JSON_INDENT,
  );
  return [
    {
      path: apiPath,
      content: replaceFailureTable(readFileSync(apiPath, 'utf8')),
    },
    {
      path: fileURLToPath(new URL('openapi.json', DOCS_URL)),
      content: `${openApiJson}\n`,
    },
  ];
}

/** Generates and writes all files. */
export function writeGeneratedFiles(): void {
  for (const {path, content} of createGeneratedFiles()) {
    writeFileSync(path, content);
  }
}
