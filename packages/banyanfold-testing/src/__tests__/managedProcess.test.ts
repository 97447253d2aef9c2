import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {waitUntil} from '../waitUntil.js';

const BUILT = fileURLToPath(
  new URL('../../lib/ManagedProcess.js', import.meta.url),
);
const SCRIPT = `
  const {ManagedProcess} = await import(${JSON.stringify(BUILT)});
  const idle = new ManagedProcess('idle', () => ['-e', 'setInterval(() => {}, 9)']);
  idle.start();
  process.send(idle.pid);
`;

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

// Guards against programs that outlive an interrupted test run and take the
// processor from every test after it.
describe('ManagedProcess', () => {
  it.each(['SIGTERM', 'SIGINT', 'disconnect'] as const)(
    'ends with the process that started it, on %s',
    async how => {
      const owner = spawn(
        process.execPath,
        ['--input-type=module', '-e', SCRIPT],
        {stdio: ['ignore', 'inherit', 'inherit', 'ipc']},
      );
      const [pid] = (await once(owner, 'message')) as [number];
      expect(isAlive(pid)).toBe(true);
      if (how === 'disconnect') owner.disconnect();
      else owner.kill(how);
      await waitUntil('the started process has ended', () => !isAlive(pid));
      owner.kill('SIGKILL');
    },
  );
});
