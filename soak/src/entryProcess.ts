import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync, type WriteStream} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {entrySettings, type EntryPorts} from '@banyanfold/platform/standins';
import {OutputTail} from './outputTail.js';
import type {OwnEnd} from './ownEnds.js';
import {processorMsOf} from './processorMsOf.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** Tells over a pipe when the runtime begins to run the program. */
const PROGRAM = 'soak/lib/startMarked.js';
const MARK_FD = 3;
/** A supervisor starts a process that has ended again after about this long. */
const RESTART_MS = 300;
/**
 * Processor time from the program's first line until it must survive SIGHUP. The
 * kernel counts it in steps of 10 ms.
 */
const FIRST_LINES_PROCESSOR_MS = 20;

export interface EntryProcessOptions {
  name: string;
  ports: EntryPorts;
  /** For its settings and its log. */
  folder: string;
  /** Fields of its settings beyond the usual ones. */
  extraSettings?: object;
  /** Its settings say after each start that the whole system starts. */
  keepsFirstStart?: boolean;
}

/** One entry as a process of its own, under a small supervisor. */
export class EntryProcess {
  readonly name: string;
  readonly callersPort: number;
  readonly readinessPort: number;
  /** The name under which it gives orders to runners. */
  readonly peersAddress: string;
  /** Ends that nobody asked for, and failures while it was to end. */
  readonly ownEnds: OwnEnd[] = [];
  /** Rises with each start, so that one process is told from the next. */
  starts = 0;
  /** What the process had used when its program began; undefined before. */
  private bootProcessorMs: number | undefined;
  private child: ChildProcess | undefined;
  private readonly settingsPath: string;
  private readonly log: WriteStream;
  private isEnding = false;
  private isOver = false;

  constructor(private readonly options: EntryProcessOptions) {
    const {name, ports, folder} = options;
    this.name = name;
    this.callersPort = ports.callers;
    this.readinessPort = ports.readiness;
    this.peersAddress = `127.0.0.1:${ports.peers}`;
    this.settingsPath = join(folder, `${name}.json`);
    this.log = createWriteStream(join(folder, `${name}.log`));
    this.writeSettings(true);
  }

  start(): void {
    if (this.isOver) return;
    this.starts += 1;
    this.bootProcessorMs = undefined;
    this.isEnding = false;
    const child = spawn(process.execPath, [PROGRAM, 'entry'], {
      cwd: ROOT,
      env: {...process.env, BANYANFOLD_BOOT: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe', 'pipe'],
    });
    this.child = child;
    const tail = new OutputTail();
    for (const output of [child.stdout, child.stderr]) {
      output?.pipe(this.log, {end: false});
      output?.on('data', (chunk: Buffer) => tail.add(chunk));
    }
    child.stdio[MARK_FD]?.once('data', () => {
      if (this.child === child) {
        this.bootProcessorMs = processorMsOf(child.pid ?? 0);
      }
    });
    child.once('exit', (code, signal) => {
      // A process that is told to end ends by the signal or with code 0.
      if (!this.isEnding || code) this.noteOwnEnd(child, tail, code ?? signal);
      this.writeSettings(this.options.keepsFirstStart ?? false);
      setTimeout(() => this.start(), RESTART_MS);
    });
  }

  private noteOwnEnd(
    child: ChildProcess,
    tail: OutputTail,
    exit: number | string | null,
  ): void {
    const end: OwnEnd = {
      entry: this.name,
      exit: String(exit),
      atMs: performance.now(),
      lastLine: tail.lastLine(),
    };
    this.ownEnds.push(end);
    // What it wrote last may come after its exit.
    child.once('close', () => {
      end.lastLine = tail.lastLine();
    });
  }

  /** Of the process that runs now; 0 before the first one. */
  get pid(): number {
    return this.child?.pid ?? 0;
  }

  /** Ends the process; another takes its place soon after it is gone. */
  end(signal: 'SIGTERM' | 'SIGKILL'): void {
    this.isEnding = true;
    this.child?.kill(signal);
  }

  signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    if (signal === 'SIGHUP' && !this.hasBegun()) return;
    this.child?.kill(signal);
  }

  /**
   * Before the program's first line SIGHUP ends the process, whatever the
   * program does.
   */
  private hasBegun(): boolean {
    if (this.bootProcessorMs === undefined) return false;
    const processorMs = processorMsOf(this.child?.pid ?? 0) ?? 0;
    return processorMs >= this.bootProcessorMs + FIRST_LINES_PROCESSOR_MS;
  }

  async stop(): Promise<void> {
    this.isOver = true;
    const {child} = this;
    if (child && child.exitCode === null && child.signalCode === null) {
      const gone = new Promise(resolve => child.once('exit', resolve));
      // One that is paused ends too.
      this.end('SIGKILL');
      await gone;
    }
    await new Promise<void>(resolve => this.log.end(resolve));
  }

  private writeSettings(isFirstStart: boolean): void {
    const {ports, extraSettings} = this.options;
    const settings = entrySettings(ports, extraSettings);
    const text = JSON.stringify({...settings, bootstrap: isFirstStart});
    writeFileSync(this.settingsPath, text);
  }
}
