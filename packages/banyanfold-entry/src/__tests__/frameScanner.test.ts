import {describe, expect, it} from 'vitest';
import {FrameScanner} from '../attempts/frameScanner.js';

const OWN = 'attempt-1';

function event(seq: number, data: string, attemptId = OWN): string {
  return `id: ${attemptId}/${seq}\ndata: ${data}\n\n`;
}

function scanAll(chunks: Buffer[], maxEventBytes = 1_000) {
  const scanner = new FrameScanner({attemptId: OWN, maxEventBytes});
  let passed = '';
  let dropped = 0;
  let fault: string | undefined;
  for (const chunk of chunks) {
    const result = scanner.scan(chunk);
    passed += Buffer.concat(result.events).toString();
    dropped += result.dropped;
    fault ??= result.fault;
  }
  return {passed, dropped, fault, done: scanner.done, seq: scanner.lastSeq};
}

describe('FrameScanner', () => {
  // Chunk boundaries can lie anywhere. Forwarding a partial event or joining
  // two events would garble the answer.
  it('returns the same events for any chunk boundary', () => {
    const text = event(1, '{"a":"é"}') + event(2, 'b') + event(3, '[DONE]');
    const bytes = Buffer.from(text);
    const whole = scanAll([bytes]);
    expect(whole.passed).toBe('data: {"a":"é"}\n\ndata: b\n\ndata: [DONE]\n\n');
    for (let cut = 0; cut <= bytes.length; cut++) {
      const parts = [bytes.subarray(0, cut), bytes.subarray(cut)];
      expect(scanAll(parts)).toEqual(whole);
    }
  });

  it.each([
    [
      'an event of another attempt',
      event(1, 'a') + event(2, 'x', 'attempt-2') + event(2, 'b'),
    ],
    ['a repeated event', event(1, 'a') + event(1, 'a') + event(2, 'b')],
    ['an event repeated later', event(1, 'a') + event(2, 'b') + event(1, 'a')],
    ['a gap', event(1, 'a') + event(3, 'c')],
    ['a gap at the start', event(2, 'b')],
    ['an event without an id', event(1, 'a') + 'data: b\n\n'],
    [
      'an id that is not a number',
      event(1, 'a') + `id: ${OWN}/2x\ndata: b\n\n`,
    ],
    ['an id whose attempt id only shares its prefix', event(1, 'a', `${OWN}0`)],
    ['a partial event at the end', event(1, 'a') + `id: ${OWN}/2\ndata: b`],
    ['an event over the limit', `id: ${OWN}/1\ndata: ${'x'.repeat(2_000)}`],
    ['comments', `: ping\n\n${event(1, 'a')}: ping\n\n`],
    ['events after the end marker', event(1, '[DONE]') + event(2, 'b')],
    ['the end marker inside the data', event(1, '{"t":"data: [DONE]"}')],
  ])('scans %s', (_name, text) => {
    expect(scanAll([Buffer.from(text)])).toMatchSnapshot();
  });
});
