import type {QueuedRequest} from '@banyanfold/decisions';
import type {AdmissionPolicy} from '../types.js';

const RETRY_AFTER_MS = 1_000;

/**
 * The usual bounded queue: first come, first served. What is past its
 * deadline when its turn comes is dropped.
 */
export const fifoAdmission: AdmissionPolicy = {
  admit(view, request) {
    const slotMs = view.serviceTimeMs / view.maxRunning;
    const estimatedDelayMs = view.queue.length * slotMs + view.firstTokenMs;
    const fits = request.kvBytes <= view.kvFreeBytes;
    if (view.running < view.maxRunning && view.queue.length === 0 && fits) {
      return {kind: 'run', estimatedDelayMs, reason: 'free-slot'};
    }
    if (view.queue.length >= view.maxQueued) {
      return {
        kind: 'refuse',
        code: 'busy',
        estimatedDelayMs,
        retryAfterMs: RETRY_AFTER_MS,
        reason: 'queue-full',
      };
    }
    return {kind: 'queue', estimatedDelayMs, reason: 'no-slot'};
  },
  pick(queue, nowMs, {kvFreeBytes}) {
    const tooLate: QueuedRequest[] = [];
    let next: QueuedRequest | undefined;
    for (const request of queue) {
      if (request.deadlineMs < nowMs) {
        tooLate.push(request);
        continue;
      }
      if (!next && request.kvBytes <= kvFreeBytes) next = request;
    }
    return {next, tooLate, retryAfterMs: RETRY_AFTER_MS, reason: 'fifo'};
  },
};
