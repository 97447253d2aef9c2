import {sleep} from '@banyanfold/core';
import type {EntryContext} from '../context.js';

/**
 * Waits before a resume; the first one is not waited for. Half of each pause
 * is random, so that the streams of one agent don't all come back together,
 * and half is not, so that the tries last until a restarted agent is back.
 */
export async function waitBeforeResume(
  {clock, random, settings}: EntryContext,
  previousTries: number,
): Promise<void> {
  if (previousTries === 0) return;
  const {resumeBackoffMs, resumeBackoffMaxMs} = settings.attempts;
  const ceilingMs = Math.min(
    resumeBackoffMaxMs,
    resumeBackoffMs * 2 ** previousTries,
  );
  await sleep(clock, (ceilingMs * (1 + random())) / 2);
}
