import type {Adapter, Model} from './types.js';

/**
 * Returns the engines' identifier for one version of a model.
 *
 * @example modelArtifact({name: 'claims', version: '3'}) // 'claims@3'
 */
export function modelArtifact(model: Pick<Model, 'name' | 'version'>): string {
  return `${model.name}@${model.version}`;
}

/**
 * Returns the engines' identifier for one version of an adapter.
 *
 * @example
 * adapterArtifact({model: 'claims', modelVersion: '3', name: 'suva',
 *   version: '1'}) // 'claims@3+suva@1'
 */
export function adapterArtifact(
  adapter: Pick<Adapter, 'model' | 'modelVersion' | 'name' | 'version'>,
): string {
  const base = modelArtifact({
    name: adapter.model,
    version: adapter.modelVersion,
  });
  return `${base}+${adapter.name}@${adapter.version}`;
}
