import type {Problem} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {toSettingsProblems} from '../problems/index.js';
import {checkTree} from './check.js';
import {settingsNodeSchema, type SettingsNodes} from './node.js';
import {comparePaths, getNodeName, ROOT_PATH} from './path.js';
import {defaultSettings, NodeKind, type EffectiveSettings} from './schema.js';

/** The whole tree at one revision, in its serialized form. */
export interface SettingsSnapshot {
  readonly revision: number;
  readonly nodes: Readonly<Record<string, unknown>>;
}

/** Immutable, validated settings of all nodes at one revision. */
export class SettingsTree {
  private readonly servicePaths: ReadonlyMap<string, string>;
  private readonly workersPath: string | undefined;

  private constructor(
    /** Number of accepted edits; 0 before the first one. */
    readonly revision: number,
    readonly nodes: SettingsNodes,
    private readonly settingsByPath: ReadonlyMap<string, EffectiveSettings>,
  ) {
    const nodeKinds = [...nodes].map(([path, {kind}]) => ({path, kind}));
    this.servicePaths = new Map(
      nodeKinds
        .filter(({kind}) => kind === NodeKind.Service)
        .map(({path}) => [getNodeName(path), path]),
    );
    this.workersPath = nodeKinds.find(
      ({kind}) => kind === NodeKind.Workers,
    )?.path;
  }

  /** Validates the nodes and creates a tree from them. */
  static create(
    revision: number,
    nodes: SettingsNodes,
  ): Result<SettingsTree, readonly Problem[]> {
    const {problems, effective} = checkTree(nodes);
    if (problems.length > 0) return Err(problems);
    const sortedNodes = new Map(
      [...nodes].sort(([a], [b]) => comparePaths(a, b)),
    );
    return Ok(new SettingsTree(revision, sortedNodes, effective));
  }

  /** Creates the tree before the first edit: a root without overrides. */
  static createEmpty(): SettingsTree {
    const root = {kind: NodeKind.Group, values: {}};
    return new SettingsTree(
      0,
      new Map([[ROOT_PATH, root]]),
      new Map([[ROOT_PATH, defaultSettings]]),
    );
  }

  /** Parses and validates a snapshot from another process. */
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

  /** Returns the serialized form of the tree. */
  toSnapshot(): SettingsSnapshot {
    return {revision: this.revision, nodes: Object.fromEntries(this.nodes)};
  }

  /** Effective settings of one node; undefined if the node doesn't exist. */
  getEffective(path: string): EffectiveSettings | undefined {
    return this.settingsByPath.get(path);
  }

  /** Effective settings of one service; undefined for an unknown service. */
  forService(name: string): EffectiveSettings | undefined {
    const path = this.servicePaths.get(name);
    return path === undefined ? undefined : this.getEffective(path);
  }

  /** Effective settings of the guarded workers; without a node, the root's. */
  forWorkers(): EffectiveSettings {
    return this.getEffective(this.workersPath ?? ROOT_PATH) ?? defaultSettings;
  }

  /** Effective settings of the whole system, such as log levels. */
  forRoot(): EffectiveSettings {
    return this.getEffective(ROOT_PATH) ?? defaultSettings;
  }

  /** Lists the names of all services, sorted. */
  listServices(): readonly string[] {
    return [...this.servicePaths.keys()].sort();
  }
}

const snapshotNodesSchema = z.record(z.string(), settingsNodeSchema);
