import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {VmListStandin, LogStandin} from '@banyanfold/standins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const BIN = fileURLToPath(new URL('../../bin/run.js', import.meta.url));

interface CommandResult {
  code: number;
  output: string;
}

/** Runs the command line in a folder; its output is trimmed. */
function runCommand(folder: string, args: string[]): Promise<CommandResult> {
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [BIN, ...args],
      {cwd: folder, env: {...process.env, NO_COLOR: '1'}},
      (error, stdout, stderr) => {
        const code = typeof error?.code === 'number' ? error.code : 0;
        resolve({code, output: `${stdout}${stderr}`.trim()});
      },
    );
  });
}

const VALID_CONFIG = `{
  "models": [{"name": "claims", "version": "1", "labels": {"desk": "counter"}, "weightBytes": 10}],
  "groups": [{"name": "counter", "labelSelector": {"matchLabels": {"desk": "counter"}}}],
  "selectors": [{"name": "all", "group": "counter"}]
}`;

describe('banyanfold', () => {
  const folder = mkdtempSync(join(tmpdir(), 'banyanfold-cli-'));
  const log = new LogStandin();
  const vmList = new VmListStandin();

  beforeAll(async () => {
    const {port: logPort} = await log.start();
    const {port: vmListPort} = await vmList.start();
    const settings = {
      platform: {
        logUrl: `http://127.0.0.1:${logPort}`,
        vmListUrl: `http://127.0.0.1:${vmListPort}`,
      },
      operatorKey: 'key',
    };
    const write = (name: string, text: string) =>
      writeFileSync(join(folder, name), text);
    write('operator.jsonc', JSON.stringify(settings));
    write('good.jsonc', VALID_CONFIG);
    write('typo.jsonc', VALID_CONFIG.replace('"selectors"', '"selector"'));
    write(
      'no-group.jsonc',
      VALID_CONFIG.replace('"group": "counter"', '"group": "x"'),
    );
    write('entry.jsonc', '{"vmId": "entry-0", "prot": 1}');
  });

  afterAll(async () => {
    await log.stop();
    await vmList.stop();
    rmSync(folder, {recursive: true, force: true});
  });

  it.each([
    ['validate good.jsonc', 0],
    ['validate typo.jsonc', 2],
    ['validate no-group.jsonc', 2],
    ['validate missing.jsonc', 2],
    ['entry --settings entry.jsonc', 2],
    ['publish typo.jsonc', 2],
    ['status', 5],
  ])('%s', async (line, code) => {
    const result = await runCommand(folder, line.split(' '));
    expect(result.code).toBe(code);
    expect(result.output).toMatchSnapshot();
  });

  it('publish distinguishes a void publish from an accepted one', async () => {
    // Guards against lost updates. Two operators edit version 0. The first publish
    // is accepted; the second, still based on 0, must be void as a whole and exit
    // with code 3. The configuration of the first stays in force.
    const publish = ['publish', 'good.jsonc', '--base', '0'];
    const first = await runCommand(folder, publish);
    const second = await runCommand(folder, publish);
    const published = await runCommand(folder, ['published']);
    expect(first).toEqual({code: 0, output: 'accepted: version 1'});
    expect(second.code).toBe(3);
    expect(second.output).toMatchSnapshot();
    expect(published.code).toBe(0);
    expect(published.output).toMatchSnapshot();
  });
});
