import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {VmListStandin, LogStandin} from '@banyanfold/standins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const BIN = fileURLToPath(new URL('../../bin/run.js', import.meta.url));

interface Ended {
  code: number;
  output: string;
}

/** Runs the command line as a person would; paths in its output are cut. */
function banyanfold(folder: string, args: string[]): Promise<Ended> {
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

const GOOD = `{
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
    write('good.jsonc', GOOD);
    write('typo.jsonc', GOOD.replace('"selectors"', '"selector"'));
    write('no-group.jsonc', GOOD.replace('"group": "counter"', '"group": "x"'));
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
    const ended = await banyanfold(folder, line.split(' '));
    expect(ended.code).toBe(code);
    expect(ended.output).toMatchSnapshot();
  });

  it('publish tells a void publish from an accepted one', async () => {
    // Two operators edit version 0. The first publish is accepted; the second,
    // still based on 0, must be void as a whole, and its publisher is told so
    // with exit code 3. Afterwards the first one's configuration is in force.
    const publish = ['publish', 'good.jsonc', '--base', '0'];
    const first = await banyanfold(folder, publish);
    const second = await banyanfold(folder, publish);
    const published = await banyanfold(folder, ['published']);
    expect(first).toEqual({code: 0, output: 'accepted: version 1'});
    expect(second.code).toBe(3);
    expect(second.output).toMatchSnapshot();
    expect(published.code).toBe(0);
    expect(published.output).toMatchSnapshot();
  });
});
