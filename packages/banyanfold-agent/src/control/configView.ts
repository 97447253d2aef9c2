import {
  adapterArtifact,
  modelArtifact,
  type ConfigState,
} from '@banyanfold/config';
import {modelOf} from '../memory/allocationTable.js';

/** What the configuration in force says of a model's KV cache. */
export function kvBytesPerTokenOf(
  state: ConfigState | undefined,
  artifact: string,
): number | undefined {
  const wanted = modelOf(artifact);
  const model = state?.body.models.find(
    ({name, version}) => `${name}@${version}` === wanted,
  );
  return model?.kvBytesPerToken;
}

/** Whether a known configuration has neither a model nor an adapter of it. */
export function isUnpublished(
  state: ConfigState | undefined,
  artifact: string,
): boolean {
  if (!state) return false;
  const {models, adapters} = state.body;
  const published = [
    ...models.map(modelArtifact),
    ...adapters.map(adapterArtifact),
  ];
  return !published.includes(artifact);
}
