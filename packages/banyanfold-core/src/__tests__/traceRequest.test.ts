import {describe, expect, it} from 'vitest';
import {traceRequest} from '../traceRequest.js';

const FIRST = `time=2026-01-01T00:00:00.010Z level=info event=route node=e1 role=entry request=r1 runner=i-1 leftMs=5984
time=2026-01-01T00:00:00.011Z level=info event=route node=e1 role=entry request=r10 runner=i-2
time=2026-01-01T00:00:02.500Z level=info event=request-end node=e1 role=entry request=r1 outcome=cut error="other side closed"`;
const SECOND = `time=2026-01-01T00:00:01.000Z level=info event=retry node=e2 role=entry request=r1 after=broken`;

describe('traceRequest', () => {
  it('merges the lines about one request from several processes', () => {
    expect(traceRequest([FIRST, SECOND], 'r1')).toMatchSnapshot();
  });

  it('returns no lines for a request that no log contains', () => {
    expect(traceRequest([FIRST], 'r')).toEqual([]);
  });
});
