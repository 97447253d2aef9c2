import {readFileSync} from 'node:fs';
import https from 'node:https';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {entrySettingsSchema} from '../index.js';
import {DemandMeter} from '../plugins/demandMeter.js';
import {TestSystem} from './kit/testSystem.js';

const fixture = (name: string) =>
  fileURLToPath(new URL(`./__fixtures__/${name}`, import.meta.url));

const REQUIRED = {
  vmId: 'entry-1',
  host: '127.0.0.1',
  port: 8400,
  region: 'fiji',
  failureDomain: 'suva-a',
  internalKey: 'a',
  operatorKey: 'b',
  platform: {logUrl: 'http://127.0.0.1:1', vmListUrl: 'http://127.0.0.1:2'},
  callers: [],
};

describe('entrySettingsSchema', () => {
  it('has these defaults', () => {
    expect(entrySettingsSchema.parse(REQUIRED)).toMatchSnapshot();
  });

  it.each([
    ['a field that it does not know', {vmid: 'entry-1'}],
    ['a horizon that the log may forget', {keyHorizonMs: 3_600_000}],
    ['one key for two callers', {callers: [caller('a'), caller('b')]}],
  ])('refuses %s', (_name, change) => {
    const checked = entrySettingsSchema.safeParse({...REQUIRED, ...change});
    expect(checked.error?.issues.map(({message}) => message)).toMatchSnapshot();
  });

  // Placement decisions were measured with a weight of one tenth for the latest
  // second. With slower smoothing, a burst is detected when it is nearly over.
  it('smooths demand as in the measurements of the decisions', () => {
    const {planner} = entrySettingsSchema.parse(REQUIRED);
    const meter = new DemandMeter(planner.demandHalfLifeMs);
    meter.recordMisses('entry-2', {});
    meter.endWindow(0);
    meter.recordMisses('entry-2', {'claims@1': 10});
    meter.endWindow(1_000);
    expect(meter.demandPerSecond('claims@1')).toBeCloseTo(1, 3);
  });

  it('serves callers over TLS if it is configured', async () => {
    const system = new TestSystem();
    await system.start();
    const certPath = fixture('tls-cert.pem');
    const tls = {certPath, keyPath: fixture('tls-key.pem')};
    const port = await system.startEntry({tls});
    expect(await statusOf(port, readFileSync(certPath))).toBe(200);
    await system.stop();
  });
});

const caller = (name: string) => ({name, key: 'same'});

function statusOf(port: number, ca: Buffer): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    https
      .get({host: '127.0.0.1', port, path: '/healthz', ca}, res => {
        res.resume();
        resolve(res.statusCode);
      })
      .on('error', reject);
  });
}
