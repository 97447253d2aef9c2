/** Lines of a stack trace that are kept: the error and its origin. */
const MAX_LINES = 8;

/**
 * Renders anything that was thrown as one line, with the top of its stack.
 *
 * @example logger.error('request-failed', {error: summarizeError(thrown)})
 */
export function summarizeError(thrown: unknown): string {
  const text = thrown instanceof Error ? thrown.stack : undefined;
  const lines = (text ?? String(thrown)).split('\n').slice(0, MAX_LINES);
  return lines.map(line => line.trim()).join(' | ');
}
