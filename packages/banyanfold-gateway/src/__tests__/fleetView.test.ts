import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import type {FleetConfig, RunnerRegistration} from '../types.js';
import {FleetView} from '../view/fleetView.js';
import {RouteTable} from '../view/routeTable.js';

function createView(clock = new VirtualClock()) {
  return new FleetView(clock, new MemoryLogger());
}

function config(version: number): FleetConfig {
  return {
    version,
    routes: [],
    services: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

function registration(
  heartbeatNumber: number,
  fields: Partial<RunnerRegistration> = {},
): RunnerRegistration {
  return {
    runnerId: 'r1',
    bornMs: 1,
    service: 's',
    address: '127.0.0.1:1',
    failureDomain: 'hall-a',
    slots: 8,
    leaving: false,
    heartbeatNumber,
    ...fields,
  };
}

describe('the view of the fleet', () => {
  it('takes no version back', () => {
    const view = createView();
    view.onConfig(config(7));
    view.onConfig(config(4));
    expect(view.currentConfig?.version).toBe(7);
  });

  // Guards against a version of a peer that counts as the newest one.
  it('takes no version for confirmed because it was heard of', async () => {
    const clock = new VirtualClock();
    const view = createView(clock);
    await clock.advance(5_000);
    view.onConfig(config(7));
    expect(view.isConfigConfirmed(2_000)).toBe(false);
    view.onConfigCurrent();
    expect(view.isConfigConfirmed(2_000)).toBe(true);
  });

  it('keeps a leaving runner leaving when an older heartbeat comes late', () => {
    const view = createView();
    view.onRegistration(registration(4));
    view.onRegistration(registration(6, {leaving: true}));
    view.onRegistration(registration(5));
    view.onRegistration(registration(7));
    expect(view.runner('r1')?.leaving).toBe(true);
  });

  it('revives a removed runner only by a newer heartbeat', () => {
    const view = createView();
    view.onRegistration(registration(4));
    view.onRemoval('r1');
    view.onRegistration(registration(4));
    expect(view.runner('r1')).toBeUndefined();
    view.onRegistration(registration(5));
    expect(view.runner('r1')).toBeDefined();
  });

  it('takes a runner that starts again under its id for a new one', () => {
    // Callers were refused though the runner was back: it crashed and started
    // again, its heartbeats began at 1, and all counted as late. A late one of
    // the former life must not bring that back either.
    const view = createView();
    const restarted: string[] = [];
    view.onRestart(runnerId => restarted.push(runnerId));
    view.onRegistration(registration(40, {bornMs: 100, leaving: true}));
    view.onRegistration(registration(1, {bornMs: 200}));
    expect(view.runner('r1')).toMatchObject({bornMs: 200, leaving: false});
    view.onRegistration(registration(41, {bornMs: 100, leaving: true}));
    expect(view.runner('r1')).toMatchObject({bornMs: 200, leaving: false});
    view.onRemoval('r1');
    view.onRegistration(registration(42, {bornMs: 100}));
    expect(view.runner('r1')).toBeUndefined();
    view.onRegistration(registration(1, {bornMs: 300}));
    expect(view.runner('r1')).toBeDefined();
    expect(restarted).toEqual(['r1', 'r1']);
  });

  it('is ready when it knows a configuration and the runners', () => {
    const view = createView();
    view.onConfig(config(1));
    expect(view.isReady).toBe(false);
    view.onCaughtUp();
    expect(view.isReady).toBe(true);
  });
});

describe('the routes', () => {
  const route = (name: string, pathPrefix: string) => ({
    name,
    host: 'desk.example',
    pathPrefix,
    kind: 'idempotent' as const,
    timeoutMs: 1,
    targetMs: 1,
    priority: 0,
    services: [],
    maxAttempts: 1,
    resumable: false,
    isPublic: false,
  });
  const table = new RouteTable([
    route('all', '/'),
    route('claims', '/claims/'),
    route('drafts', '/claims/drafts/'),
  ]);

  it.each([
    ['desk.example', '/claims/1?x=/claims/drafts/', 'claims'],
    ['DESK.example:8080', '/claims/drafts/', 'drafts'],
    ['desk.example', '/claims', 'all'],
    ['desk.example', '/claimsX/1', 'all'],
    ['other.example', '/claims/1', undefined],
  ])('%s %s leads to %s', (host, target, name) => {
    expect(table.find(host, target)?.name).toBe(name);
  });
});
