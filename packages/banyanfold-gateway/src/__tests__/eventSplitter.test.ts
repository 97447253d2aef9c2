import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {EventSplitter} from '../requests/eventSplitter.js';

describe('EventSplitter', () => {
  it('returns only complete events, with the id of the last one', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.from('id: 1\nda'))).toBeUndefined();
    const events = splitter.push(Buffer.from('ta: a\n\nid: 2\ndata: b'));
    expect(events?.bytes.toString()).toBe('id: 1\ndata: a\n\n');
    expect(events?.lastEventId).toBe('1');
    expect(splitter.pendingBytes).toBe('id: 2\ndata: b'.length);
    const second = splitter.push(Buffer.from('\n\n'));
    expect(second?.bytes.toString()).toBe('id: 2\ndata: b\n\n');
    expect(splitter.pendingBytes).toBe(0);
  });

  it('recognizes blank lines with carriage returns', () => {
    const splitter = new EventSplitter();
    const events = splitter.push(Buffer.from('id: 9\r\ndata: a\r\n\r\nid'));
    expect(events?.lastEventId).toBe('9');
    expect(splitter.pendingBytes).toBe('id'.length);
    const second = splitter.push(Buffer.from(': 10\r\n\r\n'));
    expect(second?.bytes.toString()).toBe('id: 10\r\n\r\n');
  });

  it('loses no byte, however the stream is split into chunks', () => {
    const stream = Array.from(
      {length: 6},
      (_, i) => `id: ${i + 1}\ndata: token\n\n`,
    ).join('');
    fc.assert(
      fc.property(fc.array(fc.integer({min: 1, max: 30})), sizes => {
        const splitter = new EventSplitter();
        let passed = '';
        let at = 0;
        for (const size of [...sizes, stream.length]) {
          const chunk = Buffer.from(stream.slice(at, at + size));
          at += size;
          const events = splitter.push(chunk);
          if (!events) continue;
          passed += events.bytes.toString();
          expect(passed.endsWith('\n\n')).toBe(true);
        }
        expect(passed).toBe(stream);
      }),
    );
  });
});
