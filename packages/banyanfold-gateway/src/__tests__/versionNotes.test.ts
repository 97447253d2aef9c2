import {BanyanfoldError, MemoryLogger, VirtualClock} from '@banyanfold/core';
import {err, ok} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';
import {VersionHistory} from '../streams/versionHistory.js';
import {VersionNotes} from '../streams/versionNotes.js';
import type {LeaseSource, VersionNoteStore} from '../types.js';

const HORIZON_MS = 60_000;
/** Time in which the notes are read or written. */
const SYNC_MS = 1_100;

let clock: VirtualClock;
let stored: Set<string>;
let isStoreDown: boolean;
let reset: () => void;

beforeEach(() => {
  clock = new VirtualClock();
  stored = new Set();
  isStoreDown = false;
});

const down = err(
  new BanyanfoldError('no-answer', 'none', {step: 'notes', peer: 'store'}),
);

const store: VersionNoteStore = {
  onReset: listener => {
    reset = listener;
  },
  load: async () => (isStoreDown ? down : ok([...stored])),
  update: async (put, dropped) => {
    if (isStoreDown) return down;
    for (const service of put) stored.add(service);
    for (const service of dropped) stored.delete(service);
    return ok();
  },
};

function runnerOf(softwareVersion: string) {
  const runnerId = `runner-${softwareVersion}`;
  return {runnerId, service: 'drafting', softwareVersion, leaving: false};
}

function startNotes(owns: boolean) {
  const history = new VersionHistory({
    nowMs: () => clock.nowMs(),
    horizonMs: HORIZON_MS,
  });
  history.startWatching();
  const notes = new VersionNotes({
    clock,
    logger: new MemoryLogger(),
    store,
    lease: {current: () => ({owns, term: 1})} as unknown as LeaseSource,
    history: () => history,
  });
  notes.start();
  return {history, notes};
}

describe('notes of services with several versions', () => {
  it('stand in the store until one version has served for long enough', async () => {
    const {history} = startNotes(true);
    history.note(runnerOf('v1'));
    history.note(runnerOf('v2'));
    await clock.advance(SYNC_MS);
    expect([...stored]).toEqual(['drafting']);
    await clock.advance(HORIZON_MS);
    history.refresh([runnerOf('v2')]);
    await clock.advance(SYNC_MS);
    expect([...stored]).toEqual([]);
  });

  // Guards against a guess after all entries have ended at once.
  it('tell a new process of a version whose runners are all gone', async () => {
    stored.add('drafting');
    const {notes} = startNotes(false);
    await notes.untilRead();
    expect(notes.services).toEqual(new Set(['drafting']));
  });

  // Guards against a note that a new holder drops before it knows the past.
  it('are not dropped by a holder that has just started', async () => {
    stored.add('drafting');
    startNotes(true);
    await clock.advance(HORIZON_MS / 2);
    expect([...stored]).toEqual(['drafting']);
    await clock.advance(HORIZON_MS);
    expect([...stored]).toEqual([]);
  });

  // Guards against a note that is lost with the latest writes to the store.
  it('are written again when the store comes back older', async () => {
    const {history} = startNotes(true);
    history.note(runnerOf('v1'));
    history.note(runnerOf('v2'));
    await clock.advance(SYNC_MS);
    stored.clear();
    reset();
    await clock.advance(SYNC_MS);
    expect([...stored]).toEqual(['drafting']);
  });

  it('are unknown while the store is down, and waited for a short time', async () => {
    isStoreDown = true;
    const {notes} = startNotes(false);
    let isOver = false;
    void notes.untilRead().then(() => (isOver = true));
    await clock.advance(SYNC_MS);
    expect([isOver, notes.services]).toEqual([true, undefined]);
  });
});
