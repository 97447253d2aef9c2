/** Where an error arose: the step of the work and the peer it spoke to. */
export interface ErrorContext {
  /** For example `append-claim`. */
  step: string;
  /** For example `log 127.0.0.1:8300`, or `self`. */
  peer: string;
}

/** An error that says at which step, and with which peer, it arose. */
export class BanyanfoldError extends Error {
  readonly code: string;
  readonly step: string;
  readonly peer: string;

  constructor(
    code: string,
    message: string,
    place: ErrorContext,
    options: {cause?: unknown} = {},
  ) {
    super(message, options);
    this.name = 'BanyanfoldError';
    this.code = code;
    this.step = place.step;
    this.peer = place.peer;
  }
}

/**
 * Turns whatever was thrown into an error with its place.
 *
 * @example toBanyanfoldError(e, 'unreachable', {step: 'report', peer: 'a1'})
 */
export function toBanyanfoldError(
  thrown: unknown,
  code: string,
  place: ErrorContext,
): BanyanfoldError {
  if (thrown instanceof BanyanfoldError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new BanyanfoldError(code, message, place, {cause: thrown});
}
