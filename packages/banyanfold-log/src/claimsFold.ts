import {
  claimsRecordSchema,
  type ClaimRecord,
  type ClaimsRecord,
  type FinishedRecord,
  type FinishedRun,
  type ReleasedRecord,
} from './claimRecords.js';
import {
  checkWindow,
  type ClaimWindow,
  type WindowRefusal,
} from './claimWindow.js';
import {parseTimedKey} from './keyTime.js';
import {KeyExpiry} from './keyExpiry.js';
import type {LogRecord} from './types.js';

/** The owner of a key and the state of its run. */
export interface KeyState {
  owner: string;
  claimOffset: number;
  isReleased: boolean;
  finished?: FinishedRun;
}

export type ClaimVerdict =
  | {kind: 'owner'; claimOffset: number}
  | {kind: 'taken'}
  | {kind: 'refused'; code: 'key-not-uuidv7' | WindowRefusal};

/** A claim record, its offset and the verdict on it. */
export interface EvaluatedClaim {
  claim: ClaimRecord;
  offset: number;
  verdict: ClaimVerdict;
}

export interface ClaimsFoldOptions extends ClaimWindow {
  /**
   * Memory limit for all stored bodies. Above it, only the status is stored.
   */
  maxBodiesBytes?: number;
}

const DEFAULT_MAX_BODIES_BYTES = 64 * 1024 * 1024;
/** No record has this offset. It marks a run whose claim was trimmed unread. */
const UNKNOWN_CLAIM_OFFSET = 0;

/**
 * Folds the `claims` stream. The first claim of a key within its window owns
 * the key until that claim is released. All folds that read every record reach
 * the same verdicts.
 *
 * @example
 * const evaluated = fold.apply(record);
 * if (evaluated?.verdict.kind === 'owner') dispatch();
 */
export class ClaimsFold {
  private readonly keys = new Map<string, KeyState>();
  private readonly expiry: KeyExpiry;
  private readonly maxBodiesBytes: number;
  private bodiesBytes = 0;

  private readonly handlers: {
    [K in ClaimsRecord['kind']]: (
      record: Extract<ClaimsRecord, {kind: K}>,
      at: LogRecord,
    ) => EvaluatedClaim | undefined;
  } = {
    claim: (claim, at) => this.evaluateClaim(claim, at),
    finished: record => this.applyFinished(record),
    released: record => this.applyReleased(record),
  };

  constructor(private readonly options: ClaimsFoldOptions) {
    this.maxBodiesBytes = options.maxBodiesBytes ?? DEFAULT_MAX_BODIES_BYTES;
    this.expiry = new KeyExpiry(options);
  }

  /** Applies the next record and returns the verdict if it is a claim. */
  apply(record: LogRecord): EvaluatedClaim | undefined {
    const parsed = claimsRecordSchema.safeParse(record.value);
    if (!parsed.success) return undefined;
    const handler = this.handlers[parsed.data.kind] as (
      value: ClaimsRecord,
      at: LogRecord,
    ) => EvaluatedClaim | undefined;
    return handler(parsed.data, record);
  }

  /** The state of a key, as normalized by `parseTimedKey`. */
  stateOf(key: string): KeyState | undefined {
    return this.keys.get(key);
  }

  get size(): number {
    return this.keys.size;
  }

  /**
   * Drops the keys that can no longer be claimed at `logNowMs`, the log's time.
   */
  dropExpired(logNowMs: number): void {
    for (const key of this.expiry.takeExpired(logNowMs)) {
      this.bodiesBytes -= bodyBytesOf(this.keys.get(key)?.finished);
      this.keys.delete(key);
    }
  }

  private evaluateClaim(claim: ClaimRecord, at: LogRecord): EvaluatedClaim {
    const {offset, appendedAtMs} = at;
    const timed = parseTimedKey(claim.key);
    const refused = (
      code: 'key-not-uuidv7' | WindowRefusal,
    ): EvaluatedClaim => ({
      claim,
      offset,
      verdict: {kind: 'refused', code},
    });
    if (!timed) return refused('key-not-uuidv7');
    const refusal = checkWindow(timed.keyMs, appendedAtMs, this.options);
    if (refusal) return refused(refusal);
    const known = this.keys.get(timed.key);
    if (known && !known.isReleased) {
      return {claim, offset, verdict: {kind: 'taken'}};
    }
    this.setState(timed.key, timed.keyMs, {
      owner: claim.owner,
      claimOffset: offset,
      isReleased: false,
    });
    return {claim, offset, verdict: {kind: 'owner', claimOffset: offset}};
  }

  private applyFinished(record: FinishedRecord): undefined {
    const timed = parseTimedKey(record.key);
    if (!timed) return;
    const known = this.keys.get(timed.key);
    if (known?.finished) return;
    const {owner} = record;
    const state = known ?? {owner, claimOffset: UNKNOWN_CLAIM_OFFSET};
    const finished = this.limitRun(record);
    // Only an owner appends this record, so the key was run even if its claim
    // was trimmed before this reader saw it.
    const isReleased = false;
    this.setState(timed.key, timed.keyMs, {...state, isReleased, finished});
  }

  private applyReleased({key, claimOffset}: ReleasedRecord): undefined {
    const known = this.keys.get(parseTimedKey(key)?.key ?? '');
    // A duplicate release must not release the key of the next owner.
    if (known?.claimOffset !== claimOffset || known.finished) return;
    known.isReleased = true;
  }

  private limitRun({status, body}: FinishedRecord): FinishedRun {
    const runBytes = bodyBytesOf({status, body});
    if (this.bodiesBytes + runBytes > this.maxBodiesBytes) return {status};
    this.bodiesBytes += runBytes;
    return {status, body};
  }

  private setState(key: string, keyMs: number, state: KeyState): void {
    if (!this.keys.has(key)) this.expiry.add(key, keyMs);
    this.keys.set(key, state);
  }
}

function bodyBytesOf(run: FinishedRun | undefined): number {
  return run?.body === undefined ? 0 : Buffer.byteLength(run.body);
}
