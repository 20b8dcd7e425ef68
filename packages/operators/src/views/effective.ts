/** The effective settings of a node, each with the node that sets it. */
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {traceValues, type SettingsTree} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import type {EffectiveView} from '../messages/index.js';

/**
 * Lists the effective values at the path `node`. Fails with
 * `settings_unknown_node` when the tree has no such node.
 */
export function listEffectiveValues(
  tree: SettingsTree,
  node: string,
): Result<EffectiveView, Failure> {
  const tracedValues = traceValues(tree, node);
  if (tracedValues === undefined) {
    return Err(createFailure(FailureCode.SettingsUnknownNode, {node}));
  }
  const values = tracedValues.map(({from, ...value}) =>
    from === undefined ? value : {...value, from},
  );
  return Ok({revision: tree.revision, node, values});
}
