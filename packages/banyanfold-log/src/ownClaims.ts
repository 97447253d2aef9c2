import type {ClaimWindow} from './claimWindow.js';
import type {EvaluatedClaim} from './claimsFold.js';

/** A claim that this process made, until its fate is known. */
interface OwnClaim {
  keyMs: number;
  isAbandoned: boolean;
  judged?: EvaluatedClaim;
}

/** The claims of this process by nonce, from their append to their verdict. */
export class OwnClaims {
  private readonly claims = new Map<string, OwnClaim>();

  constructor(private readonly window: ClaimWindow) {}

  begin(nonce: string, keyMs: number): void {
    this.claims.set(nonce, {keyMs, isAbandoned: false});
  }

  /** Ends the wait for a verdict, and gives it when there is one. */
  takeJudged(nonce: string): EvaluatedClaim | undefined {
    const judged = this.claims.get(nonce)?.judged;
    if (judged) this.claims.delete(nonce);
    return judged;
  }

  /** For a claim that certainly isn't in the log and won't be. */
  forget(nonce: string): void {
    this.claims.delete(nonce);
  }

  /**
   * The caller is told that nothing runs under this claim, so nothing may,
   * also when the claim arrives in the log later and owns its key.
   */
  abandon(nonce: string): void {
    const claim = this.claims.get(nonce);
    if (claim) claim.isAbandoned = true;
  }

  /** @returns whether the claim owns its key and must be released. */
  noteJudged(judged: EvaluatedClaim): boolean {
    const claim = this.claims.get(judged.claim.nonce);
    if (!claim) return false;
    claim.judged ??= judged;
    if (!claim.isAbandoned) return false;
    this.claims.delete(judged.claim.nonce);
    return judged.verdict.kind === 'owner';
  }

  /** An abandoned claim past its horizon can't own its key any more. */
  dropForgotten(logNowMs: number): void {
    const {horizonMs, maxAheadMs} = this.window;
    const keptFromMs = logNowMs - horizonMs - maxAheadMs;
    for (const [nonce, {keyMs, isAbandoned}] of this.claims) {
      if (isAbandoned && keyMs < keptFromMs) this.claims.delete(nonce);
    }
  }
}
