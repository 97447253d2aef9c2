/** Resolves after `delayMs` of real time. */
export function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
