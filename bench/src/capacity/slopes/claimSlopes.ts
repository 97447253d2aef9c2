import {randomUUID} from 'node:crypto';
import {ClaimsFold, DEFAULT_CLAIM_WINDOW} from '@banyanfold/log';

import {cpuUsSince, median, retainedBytes} from '../measure.js';
import {toSlope, type Slope} from '../model/slope.js';
import type {Point} from '../model/fit.js';

const KEY_COUNTS = [1_000, 2_000, 4_000, 8_000, 16_000];
const ROUNDS = 5;

/**
 * What each key costs every entry, for each follows all claims: the records
 * of its claim and of its run's end, without a kept body.
 */
export function claimSlopes(): Slope[] {
  const bytes: Point[] = [];
  const cpu: Point[] = [];
  const heap: Point[] = [];
  for (const keys of KEY_COUNTS) {
    const texts = recordTexts(keys);
    const sum = texts.reduce((total, text) => total + text.length, 0);
    bytes.push({x: keys, y: sum});
    const times = Array.from({length: ROUNDS}, () => timeFold(texts));
    cpu.push({x: keys, y: median(times)});
    heap.push({x: keys, y: retainedBytes(() => foldAll(texts))});
  }
  return [
    toSlope('claim records', 'bytes', 'key', bytes),
    toSlope('claim fold', 'us', 'key', cpu),
    toSlope('claims in memory', 'heap bytes', 'key', heap),
  ];
}

/** As a page of the log has them, each with its offset and time. */
function recordTexts(keys: number): string[] {
  const owner = `entry-1/${randomUUID()}`;
  const nowMs = Date.now();
  const texts: string[] = [];
  const add = (value: object) =>
    texts.push(
      JSON.stringify({offset: texts.length + 1, appendedAtMs: nowMs, value}),
    );
  for (let index = 0; index < keys; index++) {
    const key = timedKey(nowMs);
    const nonce = randomUUID();
    add({kind: 'claim', key, owner, nonce, atKeyMs: nowMs});
    add({kind: 'finished', key, owner, status: 200});
  }
  return texts;
}

function foldAll(texts: readonly string[]): ClaimsFold {
  const fold = new ClaimsFold(DEFAULT_CLAIM_WINDOW);
  for (const text of texts) {
    fold.apply(JSON.parse(text) as Parameters<ClaimsFold['apply']>[0]);
  }
  return fold;
}

function timeFold(texts: readonly string[]): number {
  const before = process.cpuUsage();
  foldAll(texts);
  return cpuUsSince(before);
}

/** A UUIDv7, as callers send it. */
function timedKey(nowMs: number): string {
  const hex = nowMs.toString(16).padStart(12, '0');
  const tail = randomUUID().slice(15);
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7${tail}`;
}
