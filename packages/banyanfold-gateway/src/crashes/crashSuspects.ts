import type {Clock} from '@banyanfold/core';
import {
  DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
  type CrashVerdict,
} from '@banyanfold/decisions';
import type {CrashNews, KnownSuspects, ToldSuspects} from './crashContract.js';
import type {SeenCrash} from './crashWatch.js';

/** A crash that this process has seen itself. */
interface OwnCrash {
  life: string;
  atMs: number;
}

/**
 * The holder has judged by what was told it by then, and its word is back: two
 * exchanges by way of a relay.
 */
const WORD_BACK_MS = 1_000;
/** A new holder has heard by then what its former one and the store know. */
const HOLDER_LEARNS_MS = 2 * WORD_BACK_MS;
/** The store's word holds so long; it is read every two seconds if need be. */
const STORED_HOLDS_MS = 5_000;
/** Crashes are told anew to a new holder for so long, in ms. */
const EVIDENCE_MS = 600_000;
/** Requests whose crashes are kept at most, some 200 bytes each. */
const MAX_OWN = 2_000;
/** News that wait for a holder at most; more would tell of the same crashes. */
const MAX_NEWS = 2_000;

/**
 * What an entry knows of requests that crash runners: the holder's word, and
 * what it has seen itself and the holder can't have judged yet.
 */
export class CrashSuspects {
  /** Called when there is something to tell that shouldn't wait. */
  onNews: () => void = () => {};
  /** By fingerprint, the one that crashed last at the end. */
  private readonly own = new Map<string, OwnCrash[]>();
  /** By fingerprint, until when it is in quarantine; undefined for a suspect. */
  private told = new Map<string, number | undefined>();
  /** The same, from the store and from former holders. */
  private kept = new Map<string, number | undefined>();
  private keptUntilMs = Number.POSITIVE_INFINITY;
  private toldKnown: KnownSuspects | undefined;
  private toldAtMs = Number.NEGATIVE_INFINITY;
  private unanswered: CrashNews = emptyNews();
  private next: CrashNews = emptyNews();

  constructor(private readonly clock: Clock) {}

  /** Undefined for a request that runs like all others. */
  verdictOf(fingerprint: string): CrashVerdict | undefined {
    const known = this.knownOf(fingerprint);
    if (known) return known.untilMs === undefined ? 'suspect' : 'quarantined';
    const crashes = this.own.get(fingerprint);
    const {suspectCrashes} = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS;
    if (!crashes || crashes.length < suspectCrashes) return undefined;
    // Older ones the holder has judged, and found it to be none.
    const unjudgedMs = this.toldAtMs - WORD_BACK_MS;
    return crashes.at(-1)!.atMs > unjudgedMs ? 'suspect' : undefined;
  }

  /** Until a request leaves quarantine, in ms. */
  quarantinedForMs(fingerprint: string): number {
    const untilMs = this.knownOf(fingerprint)?.untilMs ?? 0;
    return Math.max(0, untilMs - this.clock.nowMs());
  }

  /** The store says that they are in quarantine, each for so long, in ms. */
  noteStored(forMs: ReadonlyMap<string, number>): void {
    const nowMs = this.clock.nowMs();
    for (const [fingerprint, leftMs] of forMs) {
      this.kept.set(fingerprint, nowMs + leftMs);
    }
    this.keptUntilMs = Math.max(this.keptUntilMs, nowMs + STORED_HOLDS_MS);
    const quarantined = [...forMs.keys()];
    if (quarantined.length > 0) this.relay({...emptyNews(), quarantined});
  }

  noteCrash({life, fingerprints}: SeenCrash): void {
    const atMs = this.clock.nowMs();
    for (const fingerprint of fingerprints) {
      const crashes = this.own.get(fingerprint) ?? [];
      crashes.push({life, atMs});
      this.own.delete(fingerprint);
      this.own.set(fingerprint, crashes);
    }
    this.forgetOld(atMs);
    this.next.crashes.push({life, fingerprints: [...fingerprints]});
    this.onNews();
  }

  /** A runner answered it whole: it crashes nothing. */
  noteServed(fingerprint: string): void {
    const wasSeen = this.own.delete(fingerprint);
    const isSuspect = this.told.get(fingerprint) === undefined;
    const wasTold = isSuspect && this.told.delete(fingerprint);
    if (!wasTold && !wasSeen) return;
    this.next.served.push(fingerprint);
    this.onNews();
  }

  noteTrialOver(fingerprint: string, ran: boolean): void {
    this.next.trialsOver.push({fingerprint, ran});
    this.onNews();
  }

  /** What another entry tells by way of this one. */
  relay(news: CrashNews | undefined): void {
    if (!news) return;
    this.next = joined(this.next, news);
    if (!isEmpty(news)) this.onNews();
  }

  /**
   * What is to be told with the next exchange, all until it is answered. Undefined
   * where there is nothing, as nearly always: four exchanges a second then carry
   * and check no empty lists.
   */
  news(): CrashNews | undefined {
    this.unanswered = joined(this.unanswered, this.next);
    this.next = emptyNews();
    return isEmpty(this.unanswered) ? undefined : this.unanswered;
  }

  /** The last exchange was answered. */
  noteAnswered(): void {
    this.unanswered = emptyNews();
  }

  /** Whether anything was heard or seen of crashes. */
  get hasAny(): boolean {
    return this.told.size > 0 || this.own.size > 0;
  }

  get known(): KnownSuspects | undefined {
    return this.toldKnown;
  }

  adopt(told: ToldSuspects | undefined): void {
    if (!told) return;
    const {epoch, revision, suspects} = told;
    const nowMs = this.clock.nowMs();
    if (this.toldKnown?.epoch !== epoch) this.meetNewHolder();
    this.toldAtMs = nowMs;
    this.toldKnown = {epoch, revision};
    if (!suspects) return;
    this.told = new Map(
      suspects.map(({fingerprint, quarantinedMs}) => [
        fingerprint,
        quarantinedMs === undefined ? undefined : nowMs + quarantinedMs,
      ]),
    );
  }

  /** The holder's word for one that asks here; the list only if it is new. */
  tell(known: KnownSuspects | undefined): ToldSuspects | undefined {
    if (!this.toldKnown) return undefined;
    const {epoch, revision} = this.toldKnown;
    if (known?.epoch === epoch && known.revision === revision) {
      return {epoch, revision};
    }
    const nowMs = this.clock.nowMs();
    const suspects = [...this.told].map(([fingerprint, untilMs]) => ({
      fingerprint,
      quarantinedMs:
        untilMs === undefined ? undefined : Math.max(0, untilMs - nowMs),
    }));
    return {epoch, revision, suspects};
  }

  /** Of the two words about it the one that has it in quarantine. */
  private knownOf(fingerprint: string): {untilMs?: number} | undefined {
    const isKept =
      this.clock.nowMs() < this.keptUntilMs && this.kept.has(fingerprint);
    const isTold = this.told.has(fingerprint);
    if (!isKept && !isTold) return undefined;
    const keptUntilMs = isKept ? this.kept.get(fingerprint) : undefined;
    return {untilMs: this.told.get(fingerprint) ?? keptUntilMs};
  }

  /**
   * A new holder has heard nothing of the time before. Untold, a request that
   * crashed three runners would be free to crash three more with each change of
   * the holder; and until it has heard, its word must not replace the last one.
   */
  private meetNewHolder(): void {
    const nowMs = this.clock.nowMs();
    const former = nowMs < this.keptUntilMs ? [...this.kept] : [];
    this.kept = new Map([...former, ...this.told]);
    this.keptUntilMs = nowMs + HOLDER_LEARNS_MS;
    const crashes = new Map<string, string[]>();
    for (const [fingerprint, seen] of this.own) {
      for (const {life} of seen) {
        const known = crashes.get(life);
        if (known) known.push(fingerprint);
        else crashes.set(life, [fingerprint]);
      }
    }
    const quarantined = [...this.told.entries()]
      .filter(([, untilMs]) => untilMs !== undefined)
      .map(([fingerprint]) => fingerprint);
    this.next = joined(this.next, {
      ...emptyNews(),
      crashes: [...crashes].map(([life, fingerprints]) => ({
        life,
        fingerprints,
      })),
      quarantined,
    });
    this.onNews();
  }

  private forgetOld(nowMs: number): void {
    for (const [fingerprint, crashes] of this.own) {
      const isOld = nowMs - crashes.at(-1)!.atMs >= EVIDENCE_MS;
      if (!isOld && this.own.size <= MAX_OWN) return;
      this.own.delete(fingerprint);
    }
  }
}

function emptyNews(): CrashNews {
  return {crashes: [], served: [], trialsOver: [], quarantined: []};
}

function isEmpty(news: CrashNews): boolean {
  return Object.values(news).every(list => list.length === 0);
}

function joined(one: CrashNews, other: CrashNews): CrashNews {
  const both = <T>(a: readonly T[], b: readonly T[]) =>
    [...a, ...b].slice(-MAX_NEWS);
  return {
    crashes: both(one.crashes, other.crashes),
    served: both(one.served, other.served),
    trialsOver: both(one.trialsOver, other.trialsOver),
    quarantined: both(one.quarantined, other.quarantined),
  };
}
