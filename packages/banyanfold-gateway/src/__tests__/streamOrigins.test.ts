import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {LookupResult, OriginLookup} from '../streams/originLookup.js';
import type {OriginReplicator} from '../streams/originReplicator.js';
import type {StoredOrigin} from '../streams/storedOrigins.js';
import {StreamOrigins} from '../streams/streamOrigins.js';
import {FleetView} from '../view/fleetView.js';

const SERVICE = 'drafting';
const MEMORY_MS = 60_000;
const FREEZE_MS = 3_000;

/** Its monotonic clock does not count the time in which it was suspended. */
class SuspendableClock extends VirtualClock {
  private suspendedMs = 0;

  override wallMs(): number {
    return super.wallMs() + this.suspendedMs;
  }

  suspend(ms: number): void {
    this.suspendedMs += ms;
  }
}

let clock: SuspendableClock;
let view: FleetView;
let found: LookupResult;
let noted: ReadonlySet<string> | undefined;
let isConfirmed: boolean;
let stored: StoredOrigin;
/** How often the store was asked for a stream, or was to be read. */
let asked: number;
let replicated: string[];
let origins: StreamOrigins;

beforeEach(() => {
  clock = new SuspendableClock();
  view = new FleetView(clock, new MemoryLogger());
  found = {
    version: undefined,
    answers: 0,
    isExhaustive: false,
    mixedServices: new Set(),
    soleVersions: [],
    followedMs: undefined,
    hasCompleteHistory: false,
  };
  isConfirmed = true;
  noted = new Set();
  stored = {version: undefined, isMixed: false, isCurrent: true};
  replicated = [];
  asked = 0;
  const lookup = {find: async () => found, refresh: () => {}};
  const replicator = {
    add: ({requestId}: {requestId: string}) => replicated.push(requestId),
  };
  origins = new StreamOrigins({
    clock,
    metrics: new Metrics(),
    view,
    lookup: lookup as unknown as OriginLookup,
    stored: {
      find: async () => {
        asked += 1;
        return stored;
      },
      refresh: () => {
        asked += 1;
      },
    },
    replicator: replicator as unknown as OriginReplicator,
    memoryMs: MEMORY_MS,
    notedServices: () => noted,
    untilNotesRead: () => Promise.resolve(),
    confirmRunners: async () => isConfirmed,
  });
  view.onCaughtUp();
  register('r1', 'v1');
  register('r2', 'v1');
});

function register(runnerId: string, softwareVersion?: string, number = 1) {
  view.onRegistration({
    runnerId,
    softwareVersion,
    bornMs: 0,
    service: SERVICE,
    address: '127.0.0.1:1',
    failureDomain: 'hall-a',
    slots: 8,
    leaving: false,
    heartbeatNumber: number,
  });
  view.onRunnersCurrent(clock.nowMs());
}

async function outcomeOf(requestId?: string) {
  const {continuation} = await origins.resolve(requestId, SERVICE);
  return continuation.kind === 'refuse'
    ? continuation.reason
    : continuation.version;
}

describe('a stream without a record, where the view has one version', () => {
  it('goes on', async () => {
    expect(await outcomeOf('s1')).toBe('v1');
    expect(await outcomeOf()).toBe('v1');
  });

  it('goes on where runners state no version', async () => {
    view.onRemoval('r1');
    view.onRemoval('r2');
    await clock.advance(MEMORY_MS + 1);
    register('r3');
    origins.refresh();
    expect(await outcomeOf('s1')).toBe('');
  });

  // Guards against a guess by an entry that is cut off from the store, however
  // recent its view is, and against going by some of the peers.
  it.each([0, FREEZE_MS])(
    'is refused if neither the store nor all peers answer, at age %i ms',
    async ageMs => {
      await clock.advance(ageMs);
      isConfirmed = false;
      expect(await outcomeOf('s1')).toBe('origin-unknown');
      found = {...found, answers: 1};
      expect(await outcomeOf('s1')).toBe('origin-unknown');
      found = {...found, isExhaustive: true, followedMs: MEMORY_MS};
      expect(await outcomeOf('s1')).toBe('v1');
    },
  );

  // Guards against a guess where a peer has forgotten which versions it used.
  it('is refused if a peer started after the view was read', async () => {
    await clock.advance(FREEZE_MS);
    isConfirmed = false;
    found = {...found, isExhaustive: true, followedMs: FREEZE_MS - 1};
    expect(await outcomeOf('s1')).toBe('origin-unknown');
  });

  // Guards against a guess by an entry that was suspended: its view seems fresh.
  it('is refused after a suspension until the runners are read', async () => {
    await clock.advance(1);
    clock.suspend(FREEZE_MS);
    isConfirmed = false;
    found = {...found, isExhaustive: true, followedMs: MEMORY_MS};
    expect(await outcomeOf('s1')).toBe('origin-unknown');
    await clock.advance(1);
    view.onRunnersCurrent(clock.nowMs());
    await clock.advance(1);
    expect(await outcomeOf('s1')).toBe('v1');
    clock.suspend(FREEZE_MS);
    isConfirmed = true;
    found = {...found, isExhaustive: false, followedMs: undefined};
    expect(await outcomeOf('s1')).toBe('v1');
  });

  // Guards against a guess where the peers have read of another single version.
  it('is refused if a peer knows another version only', async () => {
    found = {...found, soleVersions: [[SERVICE, 'v2']]};
    expect(await outcomeOf('s1')).toBe('origin-unknown');
    found = {...found, soleVersions: [['other', 'v2']]};
    expect(await outcomeOf('s1')).toBe('v1');
  });

  // Guards against a history that lacks versions that came and went unread.
  it('is refused after a gap until all peers or a whole history tell', async () => {
    await clock.advance(FREEZE_MS);
    view.onRunnersGap();
    view.onCaughtUp();
    view.onRunnersCurrent(clock.nowMs());
    expect(await outcomeOf('s1')).toBe('origin-unknown');
    expect(origins.handleFind({requestIds: []}).isHistoryComplete).toBe(false);
    found = {...found, followedMs: FREEZE_MS};
    expect(await outcomeOf('s1')).toBe('v1');
    found = {...found, followedMs: FREEZE_MS - 1};
    expect(await outcomeOf('s1')).toBe('origin-unknown');
    found = {...found, hasCompleteHistory: true};
    expect(await outcomeOf('s1')).toBe('v1');
  });

  // Guards against a guess by an entry that has missed a new version.
  it('is refused if a peer knows of another version', async () => {
    found = {...found, answers: 1, mixedServices: new Set([SERVICE])};
    expect(await outcomeOf('s1')).toBe('origin-unknown');
  });

  // Guards against a guess by a new entry after the last runner of a version
  // has left.
  it('is refused if the note in the store names the service, or is unread', async () => {
    noted = undefined;
    expect(await outcomeOf('s1')).toBe('origin-unknown');
    noted = new Set([SERVICE]);
    expect(await outcomeOf('s1')).toBe('origin-unknown');
    await clock.advance(MEMORY_MS);
    view.onRunnersCurrent(clock.nowMs());
    expect(await outcomeOf('s1')).toBe('v1');
  });

  it('goes on if a peer has seen all versions that matter', async () => {
    noted = undefined;
    found = {...found, answers: 1, hasCompleteHistory: true};
    expect(await outcomeOf('s1')).toBe('v1');
  });
});

describe('a stream that only the store knows', () => {
  it('goes on at the version in the store', async () => {
    register('r3', 'v2');
    stored = {version: 'v2', isMixed: true, isCurrent: true};
    const {continuation, source} = await origins.resolve('s1', SERVICE);
    expect(continuation).toMatchObject({kind: 'at-version', version: 'v2'});
    expect(source).toBe('store');
  });

  // Guards against a guess after all entries ended, before a note was written.
  it('does not go on at the only version that this entry has seen', async () => {
    stored = {version: 'v0', isMixed: true, isCurrent: true};
    expect(await outcomeOf('s1')).toBe('version-gone');
    stored = {version: undefined, isMixed: true, isCurrent: true};
    expect(await outcomeOf('s2')).toBe('origin-unknown');
    expect(await outcomeOf()).toBe('origin-unknown');
  });

  // Guards against streams that are refused where one version serves, as the
  // store doesn't answer.
  it('goes on at the only version where the store is down', async () => {
    stored = {version: undefined, isMixed: false, isCurrent: false};
    expect(await outcomeOf('s1')).toBe('v1');
  });

  // Guards against a caller that isn't told to come back once the store answers.
  it('is not refused for good where the store is down', async () => {
    register('r3', 'v2');
    found = {...found, answers: 1, isExhaustive: true};
    stored = {version: undefined, isMixed: false, isCurrent: false};
    expect((await origins.resolve('s1', SERVICE)).isFinal).toBe(false);
    stored = {...stored, isCurrent: true};
    expect((await origins.resolve('s1', SERVICE)).isFinal).toBe(true);
  });
});

describe('the store', () => {
  // Guards against calls that cost while one version serves.
  it('is not asked where one version has served', async () => {
    await clock.advance(MEMORY_MS);
    view.onRunnersCurrent(clock.nowMs());
    expect(await outcomeOf('s1')).toBe('v1');
    expect(asked).toBe(0);
  });

  it('is not asked for what an entry knows', async () => {
    origins.noteEvents('s1', SERVICE, 'v1');
    expect(await outcomeOf('s1')).toBe('v1');
    found = {...found, version: 'v1', answers: 1};
    expect(await outcomeOf('s2')).toBe('v1');
    expect(asked).toBe(0);
  });
});

describe('versions of a service', () => {
  // Guards against forgetting a version whose streams may still be taken up.
  it('count until no stream of a gone runner can be open', async () => {
    register('r3', 'v2');
    view.onRemoval('r3');
    await clock.advance(MEMORY_MS / 2);
    register('r1', 'v1', 2);
    origins.refresh();
    expect(await outcomeOf('s1')).toBe('origin-unknown');
    await clock.advance(MEMORY_MS / 2 + 1);
    register('r1', 'v1', 3);
    origins.refresh();
    expect(await outcomeOf('s1')).toBe('v1');
  });

  // Guards against versions that expire because the store is down.
  it('count as long as their runners are known', async () => {
    register('r3', 'v2');
    await clock.advance(MEMORY_MS + 1);
    origins.refresh();
    expect(origins.history.mixedServices()).toEqual([SERVICE]);
  });
});

describe('the version of a stream', () => {
  beforeEach(() => {
    register('r3', 'v2');
    origins.noteEvents('s1', SERVICE, 'v2');
  });

  it('is gone once its last runner is leaving and others serve', async () => {
    view.noteLeaving({runnerId: 'r3', bornMs: 0}, 'response');
    expect(await outcomeOf('s1')).toBe('version-gone');
  });

  // Guards against a final refusal because the store was down: registrations
  // that expired meanwhile are back within two seconds.
  it('may return for some seconds after a registration has expired', async () => {
    view.onRemoval('r3');
    expect(await outcomeOf('s1')).toBe('v2');
    await clock.advance(3_001);
    expect(await outcomeOf('s1')).toBe('version-gone');
  });

  // Guards against telling callers not to return where this entry has not read
  // about a version that serves.
  it('may serve all the same if this entry has not read about it', async () => {
    found = {...found, version: 'v3'};
    const unread = await origins.resolve('s2', SERVICE);
    expect(unread.continuation).toMatchObject({reason: 'version-gone'});
    expect(unread.isFinal).toBe(false);
    view.noteLeaving({runnerId: 'r3', bornMs: 0}, 'response');
    const gone = await origins.resolve('s1', SERVICE);
    expect(gone.continuation).toMatchObject({reason: 'version-gone'});
    expect(gone.isFinal).toBe(true);
  });

  it('is waited for where no runner serves at all', async () => {
    for (const runnerId of ['r1', 'r2', 'r3']) {
      view.noteLeaving({runnerId, bornMs: 0}, 'response');
    }
    expect(await outcomeOf('s1')).toBe('v2');
  });
});

describe('records of streams', () => {
  it('are sent to peers only while several versions serve', async () => {
    origins.noteEvents('s1', SERVICE, 'v1');
    expect(replicated).toEqual([]);
    register('r3', 'v2');
    const sentMs = origins.noteEvents('s1', SERVICE, 'v1');
    origins.noteEvents('s1', SERVICE, 'v1', sentMs);
    expect(replicated).toEqual(['s1']);
    await clock.advance(MEMORY_MS / 2);
    origins.noteEvents('s1', SERVICE, 'v1', sentMs);
    expect(replicated).toEqual(['s1', 's1']);
  });

  // Guards against a record that expires while callers still come back.
  it('are kept anew each time a stream is taken up', async () => {
    register('r3', 'v2');
    origins.noteEvents('s1', SERVICE, 'v1');
    for (let i = 0; i < 3; i++) {
      await clock.advance(MEMORY_MS / 2 + 1);
      expect(await outcomeOf('s1')).toBe('v1');
    }
    await clock.advance(MEMORY_MS + 1);
    expect(await outcomeOf('s1')).toBe('origin-unknown');
  });

  // Guards against memory that callers fill with long ids.
  it('hold a digest of a long id', async () => {
    register('r3', 'v2');
    const id = 'x'.repeat(10_000);
    origins.noteEvents(id, SERVICE, 'v2');
    expect(replicated[0]).toHaveLength(64);
    expect(await outcomeOf(id)).toBe('v2');
  });
});
