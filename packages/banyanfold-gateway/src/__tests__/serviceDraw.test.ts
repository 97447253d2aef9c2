import {describe, expect, it} from 'vitest';
import {pickService} from '../requests/pickService.js';
import {drawOf} from '../requests/serviceDraw.js';
import type {RouteKind} from '../types.js';

const SERVICES = [
  {service: 'drafting', weight: 3},
  {service: 'drafting-next', weight: 1},
];
const STREAMS = 2_000;

let drawn = 0;
/** Evenly spread over [0, 1). */
const random = () => (drawn++ % 100) / 100;

function serviceOf(
  kind: RouteKind,
  request: {requestId?: string; resumedRequestId?: string},
): string {
  const draw = drawOf({kind, services: SERVICES}, request, random);
  return pickService(SERVICES, () => draw);
}

describe('the service of a request on a split route', () => {
  // Guards against events of two services in one stream.
  it('is the one that began the stream, whoever is asked', () => {
    for (let i = 0; i < STREAMS; i++) {
      const begun = serviceOf('streaming', {requestId: `s${i}`});
      const resumed = {requestId: `s${i}b`, resumedRequestId: `s${i}`};
      expect(serviceOf('streaming', resumed)).toBe(begun);
    }
  });

  it.each(['streaming', 'idempotent'] as const)(
    'follows the weights, for %s routes',
    kind => {
      const picked = Array.from({length: STREAMS}, (_, i) =>
        serviceOf(kind, {requestId: `r${i}`}),
      );
      const share = picked.filter(each => each === 'drafting').length / STREAMS;
      expect(share).toBeGreaterThan(0.7);
      expect(share).toBeLessThan(0.8);
    },
  );
});
