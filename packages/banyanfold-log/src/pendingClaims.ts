import type {ClaimWindow} from './claimWindow.js';
import type {EvaluatedClaim} from './claimsFold.js';

/** A claim of this process whose outcome is not yet settled. */
interface PendingClaim {
  keyMs: number;
  isAbandoned: boolean;
  evaluated?: EvaluatedClaim;
}

/** The claims of this process by nonce, from their append to their verdict. */
export class PendingClaims {
  private readonly claims = new Map<string, PendingClaim>();

  constructor(private readonly window: ClaimWindow) {}

  add(nonce: string, keyMs: number): void {
    this.claims.set(nonce, {keyMs, isAbandoned: false});
  }

  /** Returns the claim with its verdict and removes it, if it was evaluated. */
  takeEvaluated(nonce: string): EvaluatedClaim | undefined {
    const evaluated = this.claims.get(nonce)?.evaluated;
    if (evaluated) this.claims.delete(nonce);
    return evaluated;
  }

  /** Removes a claim that is not in the log and cannot be appended later. */
  remove(nonce: string): void {
    this.claims.delete(nonce);
  }

  /**
   * Marks a claim whose caller was refused. Nothing may run under it, even if
   * it is appended to the log later and owns its key.
   */
  abandon(nonce: string): void {
    const claim = this.claims.get(nonce);
    if (claim) claim.isAbandoned = true;
  }

  /** @returns whether an abandoned claim owns its key and must be released. */
  recordEvaluated(evaluated: EvaluatedClaim): boolean {
    const claim = this.claims.get(evaluated.claim.nonce);
    if (!claim) return false;
    claim.evaluated ??= evaluated;
    if (!claim.isAbandoned) return false;
    this.claims.delete(evaluated.claim.nonce);
    return evaluated.verdict.kind === 'owner';
  }

  /**
   * Drops abandoned claims past their horizon, which can no longer own a key.
   */
  dropExpired(logNowMs: number): void {
    const {horizonMs, maxAheadMs} = this.window;
    const keptFromMs = logNowMs - horizonMs - maxAheadMs;
    for (const [nonce, {keyMs, isAbandoned}] of this.claims) {
      if (isAbandoned && keyMs < keptFromMs) this.claims.delete(nonce);
    }
  }
}
