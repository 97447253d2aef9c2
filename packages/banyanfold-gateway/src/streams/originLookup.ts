import {
  runInBackground,
  sleep,
  type Clock,
  type Logger,
  type Timer,
} from '@banyanfold/core';
import type {Replica} from '@banyanfold/decisions';
import type {
  FindOriginsInput,
  FindOriginsOutput,
} from '../peers/peerContract.js';

export interface OriginLookupOptions {
  clock: Clock;
  logger: Logger;
  /** Address of this process, which isn't asked. */
  address: string;
  /** Undefined until a holder has named them. */
  replicas(): readonly Replica[] | undefined;
  /** Number of entries; some of them may not be replicas. */
  entryCount(): number;
  /** Resolves to undefined if the peer doesn't answer in time. */
  ask(
    address: string,
    input: FindOriginsInput,
  ): Promise<FindOriginsOutput | undefined>;
}

/** What peers have answered about one stream. */
export interface LookupResult {
  /** Undefined if no peer knows it. */
  version: string | undefined;
  /** Peers that answered. */
  answers: number;
  /** All peers have answered, so no entry that is awake knows more. */
  isExhaustive: boolean;
  /** Services that a peer knows to have had several versions. */
  mixedServices: ReadonlySet<string>;
  /** Services and the only version that a peer knows of. */
  soleVersions: ReadonlyArray<[service: string, version: string]>;
  /**
   * The shortest time for which a peer has followed the runners. Undefined unless
   * all peers, and all that were named in the last minute, have answered.
   */
  followedMs: number | undefined;
  /** A peer that answered has seen all versions that matter. */
  hasCompleteHistory: boolean;
}

/** Streams that are taken up together are sought in one call to each peer. */
const GATHER_MS = 5;
/**
 * Time until peers are asked again, where the entry that began a stream may not
 * be among them: its records reach the replicas in batches.
 */
const REPEAT_MS = 300;
/**
 * The holder no longer names an entry that it doesn't reach. Such an entry may
 * still serve, and know streams and versions that no other does.
 */
const NAMED_MS = 60_000;

interface Search {
  requestId: string | undefined;
  result: {
    version: string | undefined;
    answers: number;
    isExhaustive: boolean;
    mixedServices: Set<string>;
    soleVersions: Array<[service: string, version: string]>;
    followedMs: number | undefined;
    hasCompleteHistory: boolean;
  };
  /** Of the peers that have answered, the shortest; 0 if one doesn't follow. */
  shortestFollowedMs: number;
  finish(): void;
}

/** Asks the replicas which version began a stream. */
export class OriginLookup {
  private gathered: Search[] = [];
  private gatherTimer: Timer | undefined;
  /** When each peer was named last. */
  private readonly namedMs = new Map<string, number>();

  constructor(private readonly options: OriginLookupOptions) {}

  /** Records which peers are named; call it at short intervals. */
  refresh(): void {
    const nowMs = this.options.clock.nowMs();
    for (const address of this.peers) this.namedMs.set(address, nowMs);
    for (const [address, namedMs] of this.namedMs) {
      if (nowMs - namedMs > NAMED_MS) this.namedMs.delete(address);
    }
  }

  /**
   * Resolves once a peer knows the stream, all have answered that they don't,
   * or the time is up.
   *
   * @param requestId undefined if the caller names none.
   * @param untilEnough ends the search early with what is known by then.
   */
  find(
    requestId: string | undefined,
    maxWaitMs: number,
    untilEnough?: Promise<void>,
  ): Promise<LookupResult> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const result: Search['result'] = {
        version: undefined,
        answers: 0,
        isExhaustive: false,
        mixedServices: new Set(),
        soleVersions: [],
        followedMs: undefined,
        hasCompleteHistory: false,
      };
      const timer = clock.setTimer(maxWaitMs, () => resolve(result));
      const finish = () => {
        timer.cancel();
        resolve(result);
      };
      untilEnough?.then(finish, finish);
      this.gather({requestId, result, shortestFollowedMs: Infinity, finish});
    });
  }

  private get peers(): string[] {
    const {replicas, address} = this.options;
    const addresses = (replicas() ?? []).map(replica => replica.address);
    return addresses.filter(each => each !== address);
  }

  private gather(search: Search): void {
    this.gathered.push(search);
    this.gatherTimer ??= this.options.clock.setTimer(GATHER_MS, () => {
      this.gatherTimer = undefined;
      const {logger} = this.options;
      runInBackground({logger, step: 'find-origins'}, () =>
        this.askPeers(this.gathered.splice(0)),
      );
    });
  }

  private async askPeers(searches: readonly Search[]): Promise<void> {
    const {clock, entryCount} = this.options;
    const isAnswered = await this.askOnce(searches);
    const areAllReplicas = this.peers.length + 1 >= entryCount();
    const open = searches.filter(({result}) => result.version === undefined);
    if (areAllReplicas) return this.finishAll(open, isAnswered);
    await sleep(clock, REPEAT_MS);
    this.finishAll(open, await this.askOnce(open));
  }

  private finishAll(searches: readonly Search[], isExhaustive: boolean): void {
    this.refresh();
    const isEachNamed = this.namedMs.size === this.peers.length;
    for (const {result, shortestFollowedMs, finish} of searches) {
      result.isExhaustive = isExhaustive;
      if (isExhaustive && isEachNamed) result.followedMs = shortestFollowedMs;
      finish();
    }
  }

  /** @returns whether all peers have answered. */
  private async askOnce(searches: readonly Search[]): Promise<boolean> {
    const ids = searches.flatMap(({requestId}) => requestId ?? []);
    const requestIds = [...new Set(ids)];
    const areAnswered = await Promise.all(
      this.peers.map(async address => {
        const output = await this.options.ask(address, {requestIds});
        if (output) applyAnswer(searches, output);
        return output !== undefined;
      }),
    );
    return this.options.replicas() !== undefined && areAnswered.every(Boolean);
  }
}

function applyAnswer(
  searches: readonly Search[],
  output: FindOriginsOutput,
): void {
  const {origins, mixedServices, soleVersions = [], followedMs = 0} = output;
  const versions = new Map(origins);
  for (const search of searches) {
    const {requestId, result, finish} = search;
    const shortestMs = Math.min(search.shortestFollowedMs, followedMs);
    search.shortestFollowedMs = shortestMs;
    result.answers += 1;
    result.hasCompleteHistory ||= output.isHistoryComplete;
    for (const service of mixedServices) result.mixedServices.add(service);
    result.soleVersions.push(...soleVersions);
    if (requestId !== undefined) result.version ??= versions.get(requestId);
    if (result.version !== undefined) finish();
  }
}
