import type {Metrics} from '@banyanfold/core';
import type {GatewayOptions} from '../options.js';
import type {ResourceSettings} from './resourceSettings.js';

const BYTES_PER_MB = 1_048_576;
/** Objects of a request with a head of some hundred bytes that waits for a runner. */
const REQUEST_BYTES = 16_384;

export interface RequestPlacesOptions {
  metrics: Metrics;
  maxRequests: number;
}
/**
 * Requests that are sent ahead leave half of the places to the first ones of
 * other connections.
 */
const MAX_AHEAD_SHARE = 0.5;

/** Returns undefined if the memory of the process is not limited. */
export function createRequestPlaces(
  {memoryMb}: ResourceSettings,
  {metrics, options}: {metrics: Metrics; options: GatewayOptions},
): RequestPlaces | undefined {
  if (memoryMb === undefined) return undefined;
  const bytes = memoryMb * BYTES_PER_MB * options.requestMemoryShare;
  const maxRequests = Math.floor(bytes / REQUEST_BYTES);
  return new RequestPlaces({metrics, maxRequests});
}

/** Bounds the requests that a process holds, open or waiting for their turn. */
export class RequestPlaces {
  private taken = 0;

  constructor(private readonly options: RequestPlacesOptions) {
    const {metrics, maxRequests} = options;
    metrics.gauge('request_places_taken', () => this.taken);
    metrics.gauge('request_places', () => maxRequests);
  }

  /**
   * Returns false if there is none.
   *
   * @param isAhead whether the request waits for the one before it on its
   * connection.
   */
  take(isAhead: boolean): boolean {
    const {maxRequests} = this.options;
    const max = isAhead ? maxRequests * MAX_AHEAD_SHARE : maxRequests;
    if (this.taken >= max) return false;
    this.taken += 1;
    return true;
  }

  free(): void {
    this.taken -= 1;
  }
}
