import type {Keeper} from '@banyanfold/decisions';
import type {KeeperUpdate} from '../peers/peerContract.js';

/** The keepers of origin records, as the holder last named them. */
export class KeeperList {
  /** Undefined until a holder has named them. */
  keepers: readonly Keeper[] | undefined;
  /** Differs for each list of each holder. */
  version: string | undefined;
  onChange: () => void = () => {};

  /** Applies a list; one without keepers only confirms the known version. */
  apply(update: KeeperUpdate | undefined): void {
    if (!update?.keepers || update.version === this.version) return;
    this.keepers = update.keepers;
    this.version = update.version;
    this.onChange();
  }

  /** Returns the list for a peer, without the keepers if the peer has them. */
  updateFor(knownVersion: string | undefined): KeeperUpdate | undefined {
    const {version, keepers} = this;
    if (version === undefined || !keepers) return undefined;
    return knownVersion === version
      ? {version}
      : {version, keepers: [...keepers]};
  }
}
