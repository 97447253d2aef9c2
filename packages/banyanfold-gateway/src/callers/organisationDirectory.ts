import type {Organisation} from '../types.js';

/** Looks up organisations by name or by the digest of a key. */
export class OrganisationDirectory {
  private readonly byDigest = new Map<string, Organisation>();
  private readonly byName = new Map<string, Organisation>();

  constructor(readonly organisations: readonly Organisation[]) {
    for (const organisation of organisations) {
      this.byName.set(organisation.name, organisation);
      for (const digest of organisation.keyDigests) {
        this.byDigest.set(digest, organisation);
      }
    }
  }

  /** @example directory.holderOf(keyDigestOf(key))?.name // 'claims-desk' */
  findByKeyDigest(keyDigest: string): Organisation | undefined {
    return this.byDigest.get(keyDigest);
  }

  findByName(name: string): Organisation | undefined {
    return this.byName.get(name);
  }
}
