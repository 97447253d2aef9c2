import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {bearerKey} from '@banyanfold/core';
import type {CallerSettings} from '../settings.js';
import {ApiError} from './apiErrors.js';

const CONCURRENCY_RETRY_AFTER_MS = 1000;

interface KnownCaller {
  settings: CallerSettings;
  keyDigest: Buffer;
  openRequests: number;
}

/** An authenticated caller that occupies one of its concurrency slots. */
export interface AdmittedCaller {
  settings: CallerSettings;
  release(): void;
}

/** Authenticates callers and limits their concurrent requests. */
export class CallerDirectory {
  private readonly callers: KnownCaller[];

  constructor(callers: readonly CallerSettings[]) {
    this.callers = callers.map(settings => ({
      settings,
      keyDigest: digest(settings.key),
      openRequests: 0,
    }));
  }

  /** @throws ApiError `invalid_api_key`. */
  authenticate(req: IncomingMessage): CallerSettings {
    return this.findByKey(req).settings;
  }

  /** @throws ApiError `invalid_api_key` or `too_many_requests`. */
  admit(req: IncomingMessage): AdmittedCaller {
    const caller = this.findByKey(req);
    if (caller.openRequests >= caller.settings.maxConcurrent) {
      throw new ApiError(
        'too_many_requests',
        `more than ${caller.settings.maxConcurrent} requests at once`,
        {retryAfterMs: CONCURRENCY_RETRY_AFTER_MS},
      );
    }
    caller.openRequests++;
    let isHeld = true;
    const release = () => {
      if (isHeld) caller.openRequests--;
      isHeld = false;
    };
    return {settings: caller.settings, release};
  }

  /** Compares with every key, so that timing reveals nothing about them. */
  private findByKey(req: IncomingMessage): KnownCaller {
    const givenDigest = digest(bearerKey(req.headers.authorization) ?? '');
    let found: KnownCaller | undefined;
    for (const caller of this.callers) {
      if (timingSafeEqual(givenDigest, caller.keyDigest)) found = caller;
    }
    if (!found) {
      throw new ApiError('invalid_api_key', 'the API key is missing or wrong');
    }
    return found;
  }
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
