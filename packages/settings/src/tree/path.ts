/**
 * Paths of nodes: `/` is the root, `/pricing/tags` a node below `/pricing`.
 */
import {nameSchema} from '@goldcrestpier/protocol';

/** The node from which all others inherit. */
export const ROOT_PATH = '/';

const SEPARATOR = '/';
const DEEPEST_PARTS = 16;

/** Whether `text` is a node's path. */
export function isNodePath(text: string): boolean {
  if (text === ROOT_PATH) return true;
  if (!text.startsWith(SEPARATOR)) return false;
  const parts = text.slice(1).split(SEPARATOR);
  if (parts.length > DEEPEST_PARTS) return false;
  return parts.every(part => nameSchema.safeParse(part).success);
}

/** The path that a person means: `pricing/tags` too, and nothing for the root. */
export function toNodePath(text: string): string {
  const bare = text.replace(/^\/+|\/+$/g, '');
  return `${SEPARATOR}${bare}`;
}

/** The path of the node above; undefined for the root. */
export function findParent(path: string): string | undefined {
  if (path === ROOT_PATH) return undefined;
  const cut = path.lastIndexOf(SEPARATOR);
  return cut <= 0 ? ROOT_PATH : path.slice(0, cut);
}

/** The last part of a path; empty for the root. */
export function findName(path: string): string {
  return path.slice(path.lastIndexOf(SEPARATOR) + 1);
}

/** Whether `path` is `ancestor` or lies below it. */
export function isAtOrBelow(path: string, ancestor: string): boolean {
  if (path === ancestor || ancestor === ROOT_PATH) return true;
  return path.startsWith(`${ancestor}${SEPARATOR}`);
}

/** Orders paths so that each node comes after its parent. */
export function comparePaths(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
