const MAX_CHARS = 16_384;
/** What a process writes when an error, or the runtime, ends it. */
const CAUSE_PATTERN = /uncaught[- ]error|FATAL ERROR/;

/** Keeps the end of what a process has written. */
export class OutputTail {
  private text = '';

  add(chunk: Buffer): void {
    this.text = (this.text + chunk.toString('utf8')).slice(-MAX_CHARS);
  }

  /** The last line that names why the process ended, else its last line. */
  lastLine(): string {
    const lines = this.text.split('\n').filter(line => line !== '');
    const cause = lines.findLast(line => CAUSE_PATTERN.test(line));
    return cause ?? lines.at(-1) ?? '';
  }
}
