import {describe, expect, it} from 'vitest';
import {chooseStandbys} from '../chooseStandbys.js';

const SMALL = 0.25;
const LARGE = 1.3;

function entries(count: number, processorShare: number, prefix: string) {
  return Array.from({length: count}, (_, i) => ({
    address: `${prefix}${i}:7`,
    processorShare,
  }));
}

describe('chooseStandbys', () => {
  it('chooses the entries with the largest processor share', () => {
    const all = [...entries(20, SMALL, 's'), ...entries(8, LARGE, 'l')];
    const standbys = [...chooseStandbys(all, 'l0:7')];
    expect(standbys).toHaveLength(6);
    expect(standbys.every(address => address.startsWith('l'))).toBe(true);
    expect(standbys).toContain('l0:7');
  });

  it('replaces a holder that is much smaller than another entry', () => {
    const all = [...entries(20, SMALL, 's'), ...entries(2, LARGE, 'l')];
    const standbys = chooseStandbys(all, 's0:7');
    expect(standbys.has('s0:7')).toBe(false);
    expect(standbys.has('l0:7')).toBe(true);
  });

  it('keeps a holder among equals, and chooses all of a few entries', () => {
    const many = entries(28, LARGE, 'e');
    for (const {address} of many) {
      expect(chooseStandbys(many, address).has(address)).toBe(true);
    }
    expect(chooseStandbys(entries(5, LARGE, 'e'), 'e1:7').size).toBe(5);
  });

  it('does not depend on the order of the entries', () => {
    const all = entries(12, LARGE, 'e');
    const again = [...all].reverse();
    expect(chooseStandbys(again, 'e3:7')).toEqual(chooseStandbys(all, 'e3:7'));
  });
});
