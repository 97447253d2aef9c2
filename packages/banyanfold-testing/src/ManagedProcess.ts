import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {waitUntil} from './waitUntil.js';

/** How many lines of a process's output are kept for failed tests. */
const KEPT_LINES = 2000;

/** Those that run now. */
const running = new Set<ChildProcess>();
const ENDING_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
let isWatching = false;

/**
 * Ends all of them with this process. A test runner that is interrupted ends its
 * workers by a signal, or is gone itself, and what they started would go on.
 */
function endWithThisProcess(): void {
  if (isWatching) return;
  isWatching = true;
  const endAll = () => {
    for (const child of running) child.kill('SIGKILL');
  };
  process.once('exit', endAll);
  process.once('disconnect', endAll);
  for (const signal of ENDING_SIGNALS) {
    process.once(signal, () => {
      endAll();
      // With no listener left the signal has its usual effect.
      process.kill(process.pid, signal);
    });
  }
}

/** A child process whose log lines are kept. */
export class ManagedProcess {
  readonly lines: string[] = [];
  private child: ChildProcess | undefined;

  constructor(
    readonly name: string,
    private readonly args: () => string[],
  ) {}

  get pid(): number {
    return this.child?.pid ?? 0;
  }

  get running(): boolean {
    return this.child !== undefined;
  }

  start(): void {
    endWithThisProcess();
    const child = spawn(process.execPath, this.args(), {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    running.add(child);
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({input: stream}).on('line', line => this.keep(line));
    }
    child.on('exit', (code, signal) => {
      running.delete(child);
      this.keep(`exited code=${code} signal=${signal}`);
      if (this.child === child) this.child = undefined;
    });
  }

  /** Waits for a log line of this event and gives its fields. */
  async lineWith(event: string): Promise<Record<string, string>> {
    const pattern = new RegExp(`\\bevent=${event}\\b`);
    const find = () => this.lines.findLast(line => pattern.test(line));
    await waitUntil(`${this.name} logs ${event}`, () => {
      if (!this.running) throw new Error(this.describe());
      return find() !== undefined;
    }).catch(error => {
      throw new Error(`${String(error)}\n${this.describe()}`);
    });
    return parseFields(find() ?? '');
  }

  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process and waits until it is gone and its log is read. */
  async end(signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const child = this.child;
    if (!child) return;
    // 'exit' may come while the last lines are still in the pipe.
    const gone = new Promise(resolve => child.once('close', resolve));
    child.kill(signal);
    await gone;
  }

  describe(): string {
    const state = this.running ? 'runs' : 'ended';
    return `${this.name} ${state}:\n${this.lines.slice(-30).join('\n')}`;
  }

  private keep(line: string): void {
    this.lines.push(line);
    if (this.lines.length > KEPT_LINES) this.lines.shift();
  }
}

function parseFields(line: string): Record<string, string> {
  const fields: Record<string, string> = {};
  for (const pair of line.split(' ')) {
    const at = pair.indexOf('=');
    if (at > 0) fields[pair.slice(0, at)] = pair.slice(at + 1);
  }
  return fields;
}
