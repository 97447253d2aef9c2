import type {Replica} from '@banyanfold/decisions';
import type {ReplicaUpdate} from '../peers/peerContract.js';

/** The replicas of origin records, as the holder last named them. */
export class ReplicaList {
  /** Undefined until a holder has named them. */
  replicas: readonly Replica[] | undefined;
  /** Differs for each list of each holder. */
  version: string | undefined;
  onChange: () => void = () => {};

  /** Applies a list; one without replicas only confirms the known version. */
  apply(update: ReplicaUpdate | undefined): void {
    if (!update?.replicas || update.version === this.version) return;
    this.replicas = update.replicas;
    this.version = update.version;
    this.onChange();
  }

  /** Returns the list for a peer, without the replicas if the peer has them. */
  updateFor(knownVersion: string | undefined): ReplicaUpdate | undefined {
    const {version, replicas} = this;
    if (version === undefined || !replicas) return undefined;
    return knownVersion === version
      ? {version}
      : {version, replicas: [...replicas]};
  }
}
