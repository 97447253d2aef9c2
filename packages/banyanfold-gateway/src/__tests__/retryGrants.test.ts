import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import type {PeerClients} from '../peers/peerClients.js';
import type {RetryGrant, RetryGrantInput} from '../peers/retryGrantContract.js';
import {RetryGrantLink} from '../peers/retryGrantLink.js';
import {RetryGrants} from '../placement/retryGrants.js';
import type {LeaseSource} from '../types.js';

const SERVICE = 'desk';
const WINDOW_MS = 10_000;
const GRANTED_FOR_MS = 2_000;
const LEASE_TTL_MS = 1_000;

function createGrants(clock: VirtualClock, entries = 1): RetryGrants {
  return new RetryGrants({
    clock,
    permitsPerWindow: 10.5,
    windowMs: WINDOW_MS,
    grantedForMs: GRANTED_FOR_MS,
    leaseTtlMs: LEASE_TTL_MS,
    entryCount: () => entries,
  });
}

describe('RetryGrants', () => {
  it('grants what is left of a window and of the validity of permits', async () => {
    const clock = new VirtualClock();
    const grants = createGrants(clock);
    grants.begin(true);
    expect(grants.grant(SERVICE, 4)).toEqual({granted: 4, retryAfterMs: 0});
    await clock.advance(1_000);
    expect(grants.grant(SERVICE, 8)).toEqual({
      granted: 6,
      retryAfterMs: 5_000,
    });
    expect(grants.grant('other', 1).granted).toBe(1);
    await clock.advance(WINDOW_MS + GRANTED_FOR_MS - 1_000);
    expect(grants.grant(SERVICE, 8).granted).toBe(4);
  });

  // Guards against two holders that each grant what is allowed in a window.
  it('grants nothing while permits of another holder may be valid', async () => {
    const clock = new VirtualClock();
    const grants = createGrants(clock);
    expect(grants.grant(SERVICE, 1).granted).toBe(0);
    grants.begin(false);
    await clock.advance(LEASE_TTL_MS + WINDOW_MS + GRANTED_FOR_MS - 1);
    expect(grants.grant(SERVICE, 1).granted).toBe(0);
    await clock.advance(1);
    expect(grants.grant(SERVICE, 1).granted).toBe(1);
  });

  // Guards against a holder that all entries of a large fleet call at once.
  it('names a longer pause the more entries there are', () => {
    const clock = new VirtualClock();
    const grants = createGrants(clock, 730);
    grants.begin(true);
    expect(grants.grant(SERVICE, 20).retryAfterMs).toBe(730 * 20);
  });
});

interface Node {
  link: RetryGrantLink;
  logger: MemoryLogger;
}

/** Processes that request permits from each other by address. */
class Peers {
  readonly clock = new VirtualClock();
  readonly inputs: RetryGrantInput[] = [];
  readonly nodes = new Map<string, Node>();
  answer: RetryGrant = {granted: 1, retryAfterMs: 0};

  add(
    address: string,
    {relay, holder}: {relay?: string; holder?: string},
    isHolder = false,
  ): RetryGrantLink {
    const logger = new MemoryLogger();
    const clients = {
      clientFor: (peer: string) => ({
        requestRetries: async (input: RetryGrantInput) => {
          const node = this.nodes.get(peer);
          if (!node) throw new Error('no such call');
          return node.link.handle(input);
        },
      }),
    } as unknown as PeerClients;
    const link = new RetryGrantLink({
      clock: this.clock,
      logger,
      lease: {current: () => ({owns: isHolder})} as unknown as LeaseSource,
      ownHandlers: {
        grantRetries: input => {
          this.inputs.push(input);
          return this.answer;
        },
      },
      clients,
      relayAddress: () => relay,
      holderAddress: () => holder,
    });
    this.nodes.set(address, {link, logger});
    return link;
  }
}

describe('RetryGrantLink', () => {
  it('reaches the holder directly, through a relay and in its own process', async () => {
    const peers = new Peers();
    const holder = peers.add('holder', {}, true);
    peers.add('relay', {holder: 'holder'});
    const direct = peers.add('direct', {holder: 'holder'});
    const relayed = peers.add('relayed', {relay: 'relay', holder: 'holder'});
    for (const link of [holder, direct, relayed]) {
      expect(await link.request(SERVICE, 1)).toEqual(peers.answer);
    }
    expect(peers.inputs.map(({isForwarded}) => isForwarded)).toEqual([
      false,
      false,
      true,
    ]);
  });

  // Guards against a holder that all entries behind a relay call at once.
  it('sends nothing on as a relay before the time that a refusal named', async () => {
    const peers = new Peers();
    peers.answer = {granted: 0, retryAfterMs: 5_000};
    peers.add('holder', {}, true);
    peers.add('relay', {holder: 'holder'});
    const links = ['a', 'b'].map(address =>
      peers.add(address, {relay: 'relay', holder: 'holder'}),
    );
    expect(await links[0]!.request(SERVICE, 1)).toEqual(peers.answer);
    await peers.clock.advance(1_000);
    expect(await links[1]!.request(SERVICE, 1)).toEqual({
      granted: 0,
      retryAfterMs: 4_000,
    });
    expect(peers.inputs).toHaveLength(1);
    await peers.clock.advance(4_000);
    await links[1]!.request(SERVICE, 1);
    expect(peers.inputs).toHaveLength(2);
  });

  // Guards against processes that each take the other for the holder.
  it('sends a request on only once', async () => {
    const peers = new Peers();
    const link = peers.add('a', {holder: 'b'});
    peers.add('b', {holder: 'a'});
    expect(await link.request(SERVICE, 1)).toBeUndefined();
  });

  // Guards against callers that are held up by an earlier release.
  it('gets nothing from a peer that does not know the call', async () => {
    const peers = new Peers();
    const link = peers.add('a', {holder: 'earlier'});
    expect(await link.request(SERVICE, 1)).toBeUndefined();
    const {logger} = peers.nodes.get('a')!;
    expect(logger.lines[0]).toContain('retry-grant-failed');
  });
});
