import {freePorts, type PlatformStandin} from '@banyanfold/platform/standins';
import {EntryProcess} from './entryProcess.js';

export interface StartEntriesOptions {
  platform: PlatformStandin;
  count: number;
  /** For settings and logs. */
  folder: string;
  /** Fields of the settings beyond the usual ones. */
  extraSettings?: object;
  /** See `EntryProcessOptions`. */
  keepsFirstStart?: boolean;
}

/** Starts entries as processes that reach the store without a proxy. */
export async function startEntries({
  platform,
  count,
  folder,
  extraSettings,
  keepsFirstStart,
}: StartEntriesOptions): Promise<EntryProcess[]> {
  const ports = await freePorts(count * 3);
  return Array.from({length: count}, (_, i) => {
    const [callers, readiness, peers] = ports.slice(i * 3);
    const entry = new EntryProcess({
      name: `entry-${i}`,
      folder,
      extraSettings,
      keepsFirstStart,
      ports: {
        store: platform.store.address,
        callers: callers!,
        readiness: readiness!,
        peers: peers!,
      },
    });
    entry.start();
    return entry;
  });
}
