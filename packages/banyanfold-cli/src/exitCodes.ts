/** Exit codes of the command line, documented in docs/cli.md. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  badInput: 2,
  publishVoid: 3,
  notInForce: 4,
  unreachable: 5,
} as const;
