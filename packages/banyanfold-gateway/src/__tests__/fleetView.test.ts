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

describe('FleetView', () => {
  it('ignores an older version', () => {
    const view = createView();
    view.onConfig(config(7));
    view.onConfig(config(4));
    expect(view.currentConfig?.version).toBe(7);
  });

  // Guards against treating a version received from a peer as the newest one.
  it('does not confirm a version because it was received', async () => {
    const clock = new VirtualClock();
    const view = createView(clock);
    await clock.advance(5_000);
    view.onConfig(config(7));
    expect(view.isConfigConfirmed(2_000)).toBe(false);
    view.onConfigCurrent();
    expect(view.isConfigConfirmed(2_000)).toBe(true);
  });

  // Guards against a gap that seems short because the runners were read anew.
  it('tells how long runners may have come and gone unseen', async () => {
    const clock = new VirtualClock();
    const view = createView(clock);
    const gapsMs: number[] = [];
    view.onChange(change => {
      if (change.kind === 'runners-gap') gapsMs.push(change.lengthMs);
    });
    view.onRunnersCurrent(clock.nowMs());
    view.onCaughtUp();
    await clock.advance(3_000);
    view.onRunnersGap();
    await clock.advance(400);
    view.onRunnersGap();
    view.onCaughtUp();
    view.onRunnersCurrent(clock.nowMs());
    view.onCaughtUp();
    expect(gapsMs).toEqual([3_400]);
  });

  // Guards against a runner that one part still uses as another one failed.
  it('tells all listeners of a change if one fails', () => {
    const logger = new MemoryLogger();
    const view = new FleetView(new VirtualClock(), logger);
    const seen: string[] = [];
    view.onChange(() => {
      throw new Error('no such service');
    });
    view.onChange(({kind}) => seen.push(kind));
    view.onRegistration(registration(1));
    view.onRemoval('r1');
    expect(seen).toEqual(['runner', 'runner-removed']);
    expect(logger.lines).toContainEqual(
      expect.stringContaining('event=listener-failed change=runner-removed'),
    );
  });

  it('keeps a runner leaving when an older heartbeat arrives late', () => {
    const view = createView();
    view.onRegistration(registration(4));
    view.onRegistration(registration(6, {leaving: true}));
    view.onRegistration(registration(5));
    view.onRegistration(registration(7));
    expect(view.runner('r1')?.leaving).toBe(true);
  });

  // Guards against requests to a runner that peers know to be gone.
  it('removes a runner that a peer has seen removed', () => {
    const holder = createView();
    holder.onRegistration(registration(6));
    holder.onRemoval('r1');
    const view = createView();
    view.onRegistration(registration(4));
    view.noteDepartures(holder.departures());
    expect(view.runner('r1')).toBeUndefined();
    view.onRegistration(registration(5));
    expect(view.runner('r1')).toBeUndefined();
    view.onRegistration(registration(7));
    expect(view.runner('r1')).toBeDefined();
  });

  // Guards against a late word that removes a runner which is back.
  it('keeps a runner that registered or restarted after a peer saw it removed', () => {
    const goneRunners = [{runnerId: 'r1', bornMs: 1, heartbeatNumber: 6}];
    const view = createView();
    view.onRegistration(registration(7));
    view.noteDepartures({goneRunners});
    expect(view.runner('r1')).toBeDefined();
    view.onRegistration(registration(1, {bornMs: 2}));
    view.noteDepartures({goneRunners});
    expect(view.runner('r1')).toBeDefined();
  });

  it('tells of a removal for some seconds only', async () => {
    const clock = new VirtualClock();
    const view = createView(clock);
    view.onRegistration(registration(4));
    view.onRemoval('r1');
    expect(view.departures().goneRunners).toHaveLength(1);
    await clock.advance(10_000);
    expect(view.departures().goneRunners).toEqual([]);
  });

  // Guards against a ready registration that takes back a runner's own word.
  it('keeps a runner leaving by its own word until it restarts', () => {
    const view = createView();
    view.onRegistration(registration(4));
    view.noteLeaving({runnerId: 'r1', bornMs: 1}, 'response');
    view.onRegistration(registration(5));
    expect(view.runner('r1')?.leaving).toBe(true);
    view.onRemoval('r1');
    view.onRegistration(registration(6));
    expect(view.runner('r1')?.leaving).toBe(true);
    expect(view.departures().leavingRunners).toEqual([
      {runnerId: 'r1', bornMs: 1},
    ]);
    view.onRegistration(registration(1, {bornMs: 2}));
    expect(view.runner('r1')?.leaving).toBe(false);
    expect(view.departures().leavingRunners).toEqual([]);
  });

  // Guards against requests of an entry that can't read the store itself.
  it('names the runners that the store calls leaving to the other entries', () => {
    const view = createView();
    view.onRegistration(registration(1));
    expect(view.departures().leavingRunners).toEqual([]);
    view.onRegistration(registration(2, {leaving: true}));
    expect(view.departures().leavingRunners).toEqual([
      {runnerId: 'r1', bornMs: 1},
    ]);
    view.onRemoval('r1');
    expect(view.departures().leavingRunners).toEqual([]);
  });

  // Guards against a statement on a former start that shuts out the new one.
  it('ignores that another start of a runner was leaving', () => {
    const view = createView();
    view.onRegistration(registration(1, {bornMs: 2}));
    view.noteLeaving({runnerId: 'r1', bornMs: 1}, 'peer');
    view.noteLeaving({runnerId: 'r2', bornMs: 1}, 'peer');
    expect(view.runner('r1')?.leaving).toBe(false);
    expect(view.departures().leavingRunners).toEqual([]);
  });

  // Guards against a statement that arrives while the registration is gone.
  it('notes that a removed runner is leaving', () => {
    const view = createView();
    view.onRegistration(registration(4));
    view.onRemoval('r1');
    view.noteLeaving({runnerId: 'r1', bornMs: 1}, 'response');
    view.onRegistration(registration(5));
    expect(view.runner('r1')?.leaving).toBe(true);
  });

  it('restores a removed runner only by a newer heartbeat', () => {
    const view = createView();
    view.onRegistration(registration(4));
    view.onRemoval('r1');
    view.onRegistration(registration(4));
    expect(view.runner('r1')).toBeUndefined();
    view.onRegistration(registration(5));
    expect(view.runner('r1')).toBeDefined();
  });

  it('treats a runner that restarts under its id as a new one', () => {
    // The heartbeat numbers of a runner that crashed and restarted begin at 1.
    // When they were treated as stale, requests were refused although the
    // runner was back. A late heartbeat from before the restart must not
    // restore the old state either.
    const view = createView();
    const restartedIds: string[] = [];
    view.onRestart(runnerId => restartedIds.push(runnerId));
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
    expect(restartedIds).toEqual(['r1', 'r1']);
  });

  // Guards against going by what an earlier start of a runner has registered.
  it('knows nothing but the place of a start that has not registered', () => {
    const view = createView();
    const restarted: string[] = [];
    view.onRestart(runnerId => restarted.push(runnerId));
    const models = [{name: 'm1', version: 1, adapters: []}];
    const first = {models, softwareVersion: 'v1', leaving: true};
    view.onRegistration(registration(5, first));
    view.noteStart({runnerId: 'r1', bornMs: 2});
    view.noteStart({runnerId: 'r1', bornMs: 1});
    view.onRegistration(registration(6, first));
    expect(view.runner('r1')).toMatchObject({
      bornMs: 2,
      address: '127.0.0.1:1',
      models: [],
      softwareVersion: undefined,
      isUnregistered: true,
      leaving: false,
    });
    expect(restarted).toEqual(['r1']);
    expect(view.departures().leavingRunners).toEqual([]);
  });

  // Guards against ignoring the registration of a start that a report told of.
  it('goes by the registration of a start once it is there', () => {
    const view = createView();
    view.onRegistration(registration(5, {softwareVersion: 'v1'}));
    view.noteStart({runnerId: 'r1', bornMs: 2});
    const second = registration(0, {bornMs: 2, softwareVersion: 'v2'});
    view.onRegistration(second);
    expect(view.runner('r1')).toEqual(second);
  });

  // Guards against ignoring all registrations of a runner that states no start.
  it('keeps the registration of a runner that states its start in reports only', () => {
    const view = createView();
    view.onRegistration(registration(5, {bornMs: 0}));
    view.noteStart({runnerId: 'r1', bornMs: 2});
    view.onRegistration(registration(6, {bornMs: 0, leaving: true}));
    expect(view.runner('r1')).toMatchObject({bornMs: 0, leaving: true});
  });

  it('is ready when it knows a configuration and the runners', () => {
    const view = createView();
    view.onConfig(config(1));
    expect(view.isReady).toBe(false);
    view.onCaughtUp();
    expect(view.isReady).toBe(true);
  });
});

describe('RouteTable', () => {
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
