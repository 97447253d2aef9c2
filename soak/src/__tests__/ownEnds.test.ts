import {mkdtempSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {freePorts, waitUntil} from '@banyanfold/platform/standins';
import {describe, expect, it} from 'vitest';
import {EntryProcess} from '../entryProcess.js';
import {OutputTail} from '../outputTail.js';
import {ownEndViolations} from '../ownEnds.js';

describe('OutputTail', () => {
  // Guards against a verdict that names a line beside the error.
  it.each([
    ['event=a\nevent=uncaught-error error="x"\nevent=b\n', 'uncaught-error'],
    ['n: uncaught error: TypeError\n    at one\n    at two\n', 'TypeError'],
    ['event=a\nevent=b\n', 'event=b'],
  ])('finds the last line of %j', (text, found) => {
    const tail = new OutputTail();
    tail.add(Buffer.from(text));
    expect(tail.lastLine()).toContain(found);
  });

  it('has no line before the process writes one', () => {
    expect(new OutputTail().lastLine()).toBe('');
  });
});

async function untilOwnEnd(
  callersPort: number,
  frontend: string,
): Promise<EntryProcess> {
  const [store, readiness, peers] = await freePorts(3);
  const entry = new EntryProcess({
    name: 'entry-7',
    folder: mkdtempSync(join(tmpdir(), 'soak-')),
    ports: {
      store: `127.0.0.1:${store}`,
      callers: callersPort,
      readiness: readiness!,
      peers: peers!,
    },
    extraSettings: {listen: {frontend, readiness: `127.0.0.1:${readiness}`}},
  });
  entry.start();
  await waitUntil('the entry has ended', () => {
    return entry.ownEnds.some(({lastLine}) => lastLine !== '');
  });
  await entry.stop();
  return entry;
}

describe('ownEndViolations', () => {
  // Guards against a process that ends by itself and that no run reports.
  it('names a process that ends, its exit code and its last line', async () => {
    // An address of no machine, which nothing can listen at.
    const entry = await untilOwnEnd(1, '192.0.2.1:8149');
    const {rule, what} = ownEndViolations([entry])[0]!;
    expect(rule).toBe('no process ends by itself');
    expect(what).toMatch(/^entry-7: exit 1 after ".*192\.0\.2\.1/);
  });

  // Guards against verdicts that depend on what else the machine runs.
  it('passes over a start whose port another process has', async () => {
    const taken = createServer().listen(0, '127.0.0.1');
    await new Promise(resolve => taken.once('listening', resolve));
    const {port} = taken.address() as AddressInfo;
    const entry = await untilOwnEnd(port, `127.0.0.1:${port}`);
    taken.close();
    expect(entry.ownEnds[0]?.lastLine).toContain('EADDRINUSE');
    expect(ownEndViolations([entry])).toEqual([]);
  });
});
