import {sleep} from '@banyanfold/core';
import type {EntryContext} from '../context.js';

/**
 * Waits with exponential backoff before a resume; the first resume is
 * immediate. Half of each delay is random, so that the streams of one agent
 * don't all reconnect at once. The other half is fixed, so that the tries span
 * the restart of an agent.
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
