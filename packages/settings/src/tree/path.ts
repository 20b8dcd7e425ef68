/**
 * Paths of nodes. `/` is the root, `/pricing/tags` is a child of `/pricing`.
 */
import {nameSchema} from '@goldcrestpier/protocol';

/** Path of the root node, from which all others inherit. */
export const ROOT_PATH = '/';

const SEPARATOR = '/';
const MAX_PATH_PARTS = 16;

/** Whether `text` is a valid node path. */
export function isNodePath(text: string): boolean {
  if (text === ROOT_PATH) return true;
  if (!text.startsWith(SEPARATOR)) return false;
  const parts = text.slice(1).split(SEPARATOR);
  if (parts.length > MAX_PATH_PARTS) return false;
  return parts.every(part => nameSchema.safeParse(part).success);
}

/** Normalizes outer slashes: accepts `pricing/tags`; empty text is the root. */
export function normalizeNodePath(text: string): string {
  const trimmed = text.replace(/^\/+|\/+$/g, '');
  return `${SEPARATOR}${trimmed}`;
}

/** Returns the parent's path; undefined for the root. */
export function getParentPath(path: string): string | undefined {
  if (path === ROOT_PATH) return undefined;
  const separatorIndex = path.lastIndexOf(SEPARATOR);
  return separatorIndex <= 0 ? ROOT_PATH : path.slice(0, separatorIndex);
}

/** Returns the last part of a path; empty for the root. */
export function getNodeName(path: string): string {
  return path.slice(path.lastIndexOf(SEPARATOR) + 1);
}

/** Whether `path` is `ancestor` or one of its descendants. */
export function isAtOrBelow(path: string, ancestor: string): boolean {
  if (path === ancestor || ancestor === ROOT_PATH) return true;
  return path.startsWith(`${ancestor}${SEPARATOR}`);
}

/** Sort order in which each node comes after its parent. */
export function comparePaths(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
