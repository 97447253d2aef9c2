import type {PlacementArtifact} from '@banyanfold/decisions';
import {TARGETS, type DeploymentSpec, type ModelSpec} from '../deployments.js';

/** One published artifact and what it belongs to. */
export interface CatalogEntry {
  artifact: string;
  modelArtifact: string;
  version: number;
  bytes: number;
  model: ModelSpec;
  adapter: string;
}

/** What operators have published: every model and adapter, by version. */
export class Catalog {
  private readonly entries = new Map<string, CatalogEntry>();
  private newest = 1;

  constructor(private readonly deployment: DeploymentSpec) {
    this.publish(1);
  }

  /** Publishes a new version of every model, with its adapters. */
  publishNext(): void {
    this.newest += 1;
    this.publish(this.newest);
  }

  all(): CatalogEntry[] {
    return [...this.entries.values()];
  }

  isLabelled(artifact: string): boolean {
    return this.entries.has(artifact);
  }

  /** The newest version that is held somewhere, else the newest. */
  resolve(
    model: string,
    adapter: string,
    isHeld: (artifact: string) => boolean,
  ): CatalogEntry {
    for (let version = this.newest; version >= 1; version--) {
      const entry = this.entries.get(artifactName(model, adapter, version));
      if (entry && isHeld(entry.artifact)) return entry;
    }
    return this.entries.get(artifactName(model, adapter, this.newest))!;
  }

  /** Takes back each old version whose successor is held. */
  dropReplaced(isHeld: (artifact: string) => boolean): void {
    for (const entry of this.all()) {
      if (entry.version === this.newest) continue;
      const {model, adapter} = entry;
      const successor = artifactName(model.name, adapter, this.newest);
      if (!isHeld(successor)) continue;
      if (adapter === '' && this.hasAdapters(entry)) continue;
      this.entries.delete(entry.artifact);
    }
  }

  isOutdated(artifact: string): boolean {
    return !artifact.includes(`@v${this.newest}`);
  }

  toPlacementArtifact(
    entry: CatalogEntry,
    measured: Pick<
      PlacementArtifact,
      'demandPerSecond' | 'serviceTimeMs' | 'waiting'
    >,
  ): PlacementArtifact {
    return {
      artifact: entry.artifact,
      modelArtifact: entry.modelArtifact,
      bytes: entry.bytes,
      priority: TARGETS[entry.model.kind].priority,
      runnerRole: entry.model.kind,
      ...measured,
    };
  }

  private hasAdapters(entry: CatalogEntry): boolean {
    return entry.model.adapters.some(adapter =>
      this.entries.has(artifactName(entry.model.name, adapter, entry.version)),
    );
  }

  private publish(version: number): void {
    for (const model of this.deployment.models) {
      for (const adapter of ['', ...model.adapters]) {
        const artifact = artifactName(model.name, adapter, version);
        this.entries.set(artifact, {
          artifact,
          modelArtifact: artifactName(model.name, '', version),
          version,
          bytes: adapter === '' ? model.bytes : this.deployment.adapterBytes,
          model,
          adapter,
        });
      }
    }
  }
}

function artifactName(model: string, adapter: string, version: number): string {
  const modelArtifact = `${model}@v${version}`;
  return adapter === '' ? modelArtifact : `${modelArtifact}+${adapter}@v1`;
}
