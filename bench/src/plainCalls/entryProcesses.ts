import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {entrySettings, freePorts} from '@banyanfold/platform/standins';

const MAIN = fileURLToPath(
  new URL('../../../platform/lib/main.js', import.meta.url),
);

export interface EntryProcess {
  /** Port for callers. */
  port: number;
  stop(): void;
}

/** Starts entries as processes on loopback, each with settings of its own. */
export async function startEntries(
  store: string,
  count: number,
): Promise<EntryProcess[]> {
  const folder = mkdtempSync(join(tmpdir(), 'plain-calls-'));
  const ports = await freePorts(count * 3);
  return Array.from({length: count}, (_, i) => {
    const [callers, readiness, peers] = ports.slice(i * 3) as [
      number,
      number,
      number,
    ];
    const settings = entrySettings({store, callers, readiness, peers});
    const path = join(folder, `${i}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const child = spawn(process.execPath, [MAIN, 'entry'], {
      env: {...process.env, BANYANFOLD_BOOT: path},
      stdio: 'ignore',
    });
    return {port: callers, stop: () => child.kill('SIGKILL')};
  });
}
