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

/** Who owns a key and what became of it. */
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

/** A claim record and the verdict on it. */
export interface EvaluatedClaim {
  claim: ClaimRecord;
  offset: number;
  verdict: ClaimVerdict;
}

export interface ClaimsFoldOptions extends ClaimWindow {
  /** Memory for all kept bodies; beyond it only the status is kept. */
  maxBodiesBytes?: number;
}

const DEFAULT_MAX_BODIES_BYTES = 64 * 1024 * 1024;
/** Of no process; a run whose claim was trimmed before it was read. */
const UNKNOWN_CLAIM_OFFSET = 0;

/**
 * Folds the `claims` stream: the first claim of a key within its window owns
 * it, until that very claim is released. A fold that saw every record gives
 * the same verdicts everywhere.
 *
 * @example
 * const judged = fold.apply(record);
 * if (judged?.verdict.kind === 'owner') dispatch();
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
    claim: (claim, at) => this.judge(claim, at),
    finished: record => this.noteFinished(record),
    released: record => this.noteReleased(record),
  };

  constructor(private readonly options: ClaimsFoldOptions) {
    this.maxBodiesBytes = options.maxBodiesBytes ?? DEFAULT_MAX_BODIES_BYTES;
    this.expiry = new KeyExpiry(options);
  }

  /** Takes in the next record; the verdict when it was a claim. */
  apply(record: LogRecord): EvaluatedClaim | undefined {
    const parsed = claimsRecordSchema.safeParse(record.value);
    if (!parsed.success) return undefined;
    const handler = this.handlers[parsed.data.kind] as (
      value: ClaimsRecord,
      at: LogRecord,
    ) => EvaluatedClaim | undefined;
    return handler(parsed.data, record);
  }

  /** What is known of a key, in the spelling of `parseTimedKey`. */
  stateOf(key: string): KeyState | undefined {
    return this.keys.get(key);
  }

  get size(): number {
    return this.keys.size;
  }

  /** Drops keys that no claim can own any more; `logNowMs` is the log's. */
  dropExpired(logNowMs: number): void {
    for (const key of this.expiry.takeExpired(logNowMs)) {
      this.bodiesBytes -= bytesOf(this.keys.get(key)?.finished);
      this.keys.delete(key);
    }
  }

  private judge(claim: ClaimRecord, at: LogRecord): EvaluatedClaim {
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
    this.setKey(timed.key, timed.keyMs, {
      owner: claim.owner,
      claimOffset: offset,
      isReleased: false,
    });
    return {claim, offset, verdict: {kind: 'owner', claimOffset: offset}};
  }

  private noteFinished(record: FinishedRecord): undefined {
    const timed = parseTimedKey(record.key);
    if (!timed) return;
    const known = this.keys.get(timed.key);
    if (known?.finished) return;
    const {owner} = record;
    const state = known ?? {owner, claimOffset: UNKNOWN_CLAIM_OFFSET};
    const finished = this.keepRun(record);
    // Only an owner can finish: the key was run, also when the claim of the
    // run was trimmed before it was read here.
    const isReleased = false;
    this.setKey(timed.key, timed.keyMs, {...state, isReleased, finished});
  }

  private noteReleased({key, claimOffset}: ReleasedRecord): undefined {
    const known = this.keys.get(parseTimedKey(key)?.key ?? '');
    // A release sent twice must not free the key of the next owner.
    if (known?.claimOffset !== claimOffset || known.finished) return;
    known.isReleased = true;
  }

  private keepRun({status, body}: FinishedRecord): FinishedRun {
    const runBytes = bytesOf({status, body});
    if (this.bodiesBytes + runBytes > this.maxBodiesBytes) return {status};
    this.bodiesBytes += runBytes;
    return {status, body};
  }

  private setKey(key: string, keyMs: number, state: KeyState): void {
    if (!this.keys.has(key)) this.expiry.add(key, keyMs);
    this.keys.set(key, state);
  }
}

function bytesOf(run: FinishedRun | undefined): number {
  return run?.body === undefined ? 0 : Buffer.byteLength(run.body);
}
