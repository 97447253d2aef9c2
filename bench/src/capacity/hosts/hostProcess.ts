import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {HostAnswer, HostRequest, HostSample} from './hostMessages.js';

const HOST_MAIN = fileURLToPath(new URL('./hostMain.js', import.meta.url));

interface Numbered {
  id: number;
  answer?: HostAnswer;
  error?: string;
}

/** A process that runs one part under measurement, and nothing else. */
export class HostProcess {
  private nextId = 1;
  private readonly waiting = new Map<number, (reply: Numbered) => void>();

  private constructor(private readonly child: ChildProcess) {
    child.on('message', message => {
      const reply = message as Numbered;
      this.waiting.get(reply.id)?.(reply);
      this.waiting.delete(reply.id);
    });
    child.on('exit', () => {
      const error = 'the host process ended';
      for (const [id, settle] of this.waiting) settle({id, error});
    });
  }

  /** Log lines are written, as a daemon does, and thrown away. */
  static start(): HostProcess {
    const stdio = ['ignore', 'ignore', 'inherit', 'ipc'] as const;
    return new HostProcess(fork(HOST_MAIN, [], {stdio: [...stdio]}));
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  async ask(request: HostRequest): Promise<HostAnswer> {
    const id = this.nextId++;
    const reply = await new Promise<Numbered>(resolve => {
      this.waiting.set(id, resolve);
      this.child.send({id, request});
    });
    if (!reply.answer) throw new Error(reply.error ?? 'no answer');
    return reply.answer;
  }

  async sample(collect = false): Promise<HostSample> {
    const {sample} = await this.ask({kind: 'sample', collect});
    return sample!;
  }

  async end(): Promise<void> {
    if (this.child.exitCode !== null) return;
    const gone = new Promise(resolve => this.child.once('exit', resolve));
    this.child.kill('SIGKILL');
    await gone;
  }
}
