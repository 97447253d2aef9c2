/** The context of an error: the failed step and the peer involved. */
export interface ErrorContext {
  /** For example `append-claim`. */
  step: string;
  /** For example `log 127.0.0.1:8300`, or `self`. */
  peer: string;
}

/** An error with a code, the failed step and the peer involved. */
export class BanyanfoldError extends Error {
  readonly code: string;
  readonly step: string;
  readonly peer: string;

  constructor(
    code: string,
    message: string,
    context: ErrorContext,
    options: {cause?: unknown} = {},
  ) {
    super(message, options);
    this.name = 'BanyanfoldError';
    this.code = code;
    this.step = context.step;
    this.peer = context.peer;
  }
}

/**
 * Converts a thrown value to a BanyanfoldError. One that is a BanyanfoldError
 * already is returned unchanged.
 *
 * @example toBanyanfoldError(e, 'unreachable', {step: 'report', peer: 'a1'})
 */
export function toBanyanfoldError(
  thrown: unknown,
  code: string,
  context: ErrorContext,
): BanyanfoldError {
  if (thrown instanceof BanyanfoldError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new BanyanfoldError(code, message, context, {cause: thrown});
}
