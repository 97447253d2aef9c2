import {compileConfig, type ConfigState} from '@banyanfold/config';
import {baseModelOf} from '../memory/allocationTable.js';

/**
 * Returns the configured KV cache bytes per token of an artifact's base model,
 * or undefined if the configuration is unknown or sets none.
 */
export function findKvBytesPerToken(
  state: ConfigState | undefined,
  artifact: string,
): number | undefined {
  const modelId = baseModelOf(artifact);
  const model = state?.body.models.find(
    ({name, version}) => `${name}@${version}` === modelId,
  );
  return model?.kvBytesPerToken;
}

/**
 * Whether the configuration is known and none of its selectors matches the
 * artifact.
 */
export function isUnpublished(
  state: ConfigState | undefined,
  artifact: string,
): boolean {
  if (!state) return false;
  const selectable = compileConfig(state.body).artifacts();
  return !selectable.some(entry => entry.artifact === artifact);
}
