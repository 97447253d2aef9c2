import {describe, expect, it} from 'vitest';
import {SharedRead} from '../streams/sharedRead.js';

/** Reads that end when they are told to. */
function createReads() {
  const ends: Array<(isRead: boolean) => void> = [];
  const shared = new SharedRead<boolean>(
    () =>
      new Promise((resolve, reject) => {
        ends.push(isRead =>
          isRead ? resolve(true) : reject(new Error('no answer')),
        );
      }),
  );
  return {ends, shared};
}

describe('SharedRead', () => {
  // Guards against going by a read that was sent before the caller came.
  it('sends one read for all that come while another one runs', async () => {
    const {ends, shared} = createReads();
    const first = shared.sendNext();
    const others = [shared.sendNext(), shared.sendNext()];
    expect(ends).toHaveLength(1);
    ends[0]!(true);
    await first;
    await Promise.resolve();
    expect(ends).toHaveLength(2);
    ends[1]!(true);
    expect(await Promise.all(others)).toEqual([true, true]);
  });

  // Guards against a failed read that stops all later ones.
  it('sends the next read after one that failed', async () => {
    const {ends, shared} = createReads();
    const first = shared.sendNext();
    const second = shared.sendNext();
    ends[0]!(false);
    await expect(first).rejects.toThrow('no answer');
    await Promise.resolve();
    ends[1]!(true);
    expect(await second).toBe(true);
    const third = shared.sendNext();
    expect(ends).toHaveLength(3);
    ends[2]!(true);
    expect(await third).toBe(true);
  });
});
