import {MemoryLogger} from '@banyanfold/core';
import {afterEach, describe, expect, it} from 'vitest';
import {
  standinsSettingsSchema,
  startStandins,
  type StandinsSettingsInput,
  type StartedStandins,
} from '../index.js';
import {call, callJson} from './httpHelpers.js';

let stops: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(stops.map(stop => stop()));
  stops = [];
});

async function start(settings: StandinsSettingsInput) {
  const logger = new MemoryLogger();
  const parsed = standinsSettingsSchema.parse(settings);
  const started: StartedStandins = await startStandins(parsed, logger);
  stops.push(() => started.stop());
  const urlOf = (name: string) => `http://127.0.0.1:${started.ports[name]}`;
  return {urlOf, logger};
}

describe('startStandins', () => {
  it('serves the log', async () => {
    const {urlOf} = await start({log: {}});
    const records = `${urlOf('log')}/streams/claims/records`;
    const appended = await callJson(records, 'POST', {records: [{a: 1}, 2]});
    expect(appended).toMatchObject({
      status: 200,
      body: {firstOffset: 1, lastOffset: 2},
    });
    const page = await callJson(`${records}?from=2&limit=10&waitMs=0`);
    expect(page.body).toMatchObject({
      firstOffset: 1,
      nextOffset: 3,
      records: [{offset: 2, value: 2}],
    });
    const poll = callJson(`${records}?from=3&waitMs=20000`);
    await callJson(records, 'POST', {records: ['late']});
    expect((await poll).body.records).toMatchObject([{offset: 3}]);
    expect((await callJson(records, 'POST', {records: []})).status).toBe(400);
  });

  // The append takes effect, then the connection is cut: the writer sees an
  // error and only a later read tells it that the record is there.
  it('cuts the connection of an append that took effect', async () => {
    const {urlOf} = await start({log: {faults: {loseNextAppendAnswers: 1}}});
    const records = `${urlOf('log')}/streams/claims/records`;
    await expect(call(records, 'POST', {records: ['a']})).rejects.toThrow();
    const page = await callJson(`${records}?from=1`);
    expect(page.body.records).toMatchObject([{offset: 1, value: 'a'}]);
  });

  it('serves the weight store and the list of VMs', async () => {
    const vm = {
      vmId: 'a1',
      role: 'agent' as const,
      host: '127.0.0.1',
      port: 1,
      failureDomain: 'fd-1',
    };
    const {urlOf} = await start({weightStore: {}, vmList: {vms: [vm]}});
    const loads = `${urlOf('weight-store')}/loads`;
    const load = {artifact: 'claims@3', bytes: 2e9};
    const granted = await callJson(loads, 'POST', load);
    expect(granted.body).toEqual({loadId: 'load-1', durationMs: 1200});
    const refused = await call(loads, 'POST', load);
    expect(refused.status).toBe(429);
    expect(refused.headers['retry-after']).toBe('1');
    expect((await call(`${loads}/load-1`, 'DELETE')).status).toBe(200);
    const vmsUrl = urlOf('vm-list');
    const leaving = {...vm, region: 'suva', state: 'leaving'};
    await call(`${vmsUrl}/control/vms`, 'PUT', {vms: [leaving]});
    expect((await callJson(`${vmsUrl}/vms`)).body.vms).toEqual([leaving]);
  });

  it('serves plain services, keeps the truth, and logs no body', async () => {
    const {urlOf, logger} = await start({services: [{name: 'lodging'}]});
    const headers = {'idempotency-key': 'k1'};
    const url = urlOf('lodging');
    await call(`${url}/claims/new`, 'POST', {name: 'Ana'}, headers);
    await call(`${url}/control/faults`, 'PUT', {failNext: 1});
    expect((await call(`${url}/claims/new`, 'POST', {})).status).toBe(500);
    const truth = await callJson(`${url}/control/truth`);
    expect(truth.body).toMatchObject([
      {
        kind: 'call',
        path: '/claims/new',
        idempotencyKey: 'k1',
        body: {name: 'Ana'},
      },
    ]);
    expect(logger.lines.join('\n')).toContain('event=call');
    expect(logger.lines.join('\n')).not.toContain('Ana');
  });

  it('refuses two stand-ins of one name', () => {
    const engines = [{name: 'e1'}, {name: 'e1'}];
    expect(standinsSettingsSchema.safeParse({engines}).success).toBe(false);
  });

  it('loads a model through the weight store', async () => {
    const {urlOf} = await start({weightStore: {baseLoadMs: 0}});
    const weightStoreUrl = urlOf('weight-store');
    const engines = [{name: 'e1', weightStoreUrl, reportLagMs: 0}];
    const {urlOf: engineUrl} = await start({engines});
    const url = engineUrl('e1');
    const order = {orderId: 'o1', kind: 'load', artifact: 'm@1', fencing: 1};
    const answer = await callJson(`${url}/orders`, 'POST', order);
    expect(answer).toMatchObject({
      status: 202,
      body: {orderId: 'o1', accepted: true},
    });
    const isLoaded = async () =>
      (await callJson(`${url}/report`)).body.models[0]?.state === 'loaded';
    await expect.poll(isLoaded, {timeout: 30_000}).toBe(true);
    const stale = await callJson(`${url}/orders`, 'POST', {
      ...order,
      orderId: 'o2',
      fencing: 0,
    });
    expect(stale).toEqual({
      status: 409,
      body: {code: 'stale-fencing', highestFencing: 1},
    });
  });
});
