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

interface Search {
  requestId: string | undefined;
  result: {
    version: string | undefined;
    answers: number;
    isExhaustive: boolean;
    mixedServices: Set<string>;
    hasCompleteHistory: boolean;
  };
  finish(): void;
}

/** Asks the replicas which version began a stream. */
export class OriginLookup {
  private gathered: Search[] = [];
  private gatherTimer: Timer | undefined;

  constructor(private readonly options: OriginLookupOptions) {}

  /** Whether a holder has named no other entry. */
  get isAlone(): boolean {
    return this.options.replicas() !== undefined && this.peers.length === 0;
  }

  /**
   * Resolves once a peer knows the stream, all have answered that they don't,
   * or the time is up.
   *
   * @param requestId undefined if the caller names none.
   */
  find(
    requestId: string | undefined,
    maxWaitMs: number,
  ): Promise<LookupResult> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const result: Search['result'] = {
        version: undefined,
        answers: 0,
        isExhaustive: false,
        mixedServices: new Set(),
        hasCompleteHistory: false,
      };
      const timer = clock.setTimer(maxWaitMs, () => resolve(result));
      const finish = () => {
        timer.cancel();
        resolve(result);
      };
      this.gather({requestId, result, finish});
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
    if (areAllReplicas) return finishAll(open, isAnswered);
    await sleep(clock, REPEAT_MS);
    finishAll(open, await this.askOnce(open));
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

function finishAll(searches: readonly Search[], isExhaustive: boolean): void {
  for (const {result, finish} of searches) {
    result.isExhaustive = isExhaustive;
    finish();
  }
}

function applyAnswer(
  searches: readonly Search[],
  {origins, mixedServices, isHistoryComplete}: FindOriginsOutput,
): void {
  const versions = new Map(origins);
  for (const {requestId, result, finish} of searches) {
    result.answers += 1;
    result.hasCompleteHistory ||= isHistoryComplete;
    for (const service of mixedServices) result.mixedServices.add(service);
    if (requestId !== undefined) result.version ??= versions.get(requestId);
    if (result.version !== undefined) finish();
  }
}
