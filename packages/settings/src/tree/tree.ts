import type {Problem} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {toSettingsProblems} from '../problems/index.js';
import {checkTree} from './check.js';
import {settingsNodeSchema, type SettingsNodes} from './node.js';
import {comparePaths, findName, ROOT_PATH} from './path.js';
import {defaultSettings, NodeKind, type EffectiveSettings} from './schema.js';

/** The whole tree at one revision, in the form in which it travels. */
export interface SettingsSnapshot {
  readonly revision: number;
  readonly nodes: Readonly<Record<string, unknown>>;
}

/** The checked settings of all nodes at one revision. Never changes. */
export class SettingsTree {
  private readonly paths: ReadonlyMap<string, string>;
  private readonly workersPath: string | undefined;

  private constructor(
    /** Counts the accepted edits; 0 while there was none. */
    readonly revision: number,
    readonly nodes: SettingsNodes,
    private readonly settings: ReadonlyMap<string, EffectiveSettings>,
  ) {
    const kinds = [...nodes].map(([path, {kind}]) => ({path, kind}));
    this.paths = new Map(
      kinds
        .filter(({kind}) => kind === NodeKind.Service)
        .map(({path}) => [findName(path), path]),
    );
    this.workersPath = kinds.find(({kind}) => kind === NodeKind.Workers)?.path;
  }

  /** Checks the nodes and makes the tree of them. */
  static create(
    revision: number,
    nodes: SettingsNodes,
  ): Result<SettingsTree, readonly Problem[]> {
    const {problems, effective} = checkTree(nodes);
    if (problems.length > 0) return Err(problems);
    const ordered = new Map([...nodes].sort(([a], [b]) => comparePaths(a, b)));
    return Ok(new SettingsTree(revision, ordered, effective));
  }

  /** The tree before the first edit: a root that overrides nothing. */
  static createEmpty(): SettingsTree {
    const root = {kind: NodeKind.Group, values: {}};
    return new SettingsTree(
      0,
      new Map([[ROOT_PATH, root]]),
      new Map([[ROOT_PATH, defaultSettings]]),
    );
  }

  /** Reads a tree that came from elsewhere. */
  static fromSnapshot(
    snapshot: SettingsSnapshot,
  ): Result<SettingsTree, readonly Problem[]> {
    const parsed = snapshotNodesSchema.safeParse(snapshot.nodes);
    if (!parsed.success) {
      return Err(toSettingsProblems(parsed.error, snapshot.nodes));
    }
    const nodes = new Map(Object.entries(parsed.data));
    return SettingsTree.create(snapshot.revision, nodes);
  }

  /** The form in which the tree travels. */
  toSnapshot(): SettingsSnapshot {
    return {revision: this.revision, nodes: Object.fromEntries(this.nodes)};
  }

  /** What is in force at one node; undefined when there is no such node. */
  effective(path: string): EffectiveSettings | undefined {
    return this.settings.get(path);
  }

  /** What is in force for one service; undefined when it is not known. */
  forService(name: string): EffectiveSettings | undefined {
    const path = this.paths.get(name);
    return path === undefined ? undefined : this.effective(path);
  }

  /** What is in force for the guarded workers; the root's without a node. */
  forWorkers(): EffectiveSettings {
    return this.effective(this.workersPath ?? ROOT_PATH) ?? defaultSettings;
  }

  /** What is in force for the whole system, such as levels of logs. */
  forRoot(): EffectiveSettings {
    return this.effective(ROOT_PATH) ?? defaultSettings;
  }

  /** The names of all services. */
  services(): readonly string[] {
    return [...this.paths.keys()].sort();
  }
}

const snapshotNodesSchema = z.record(z.string(), settingsNodeSchema);
