import {
  freePorts,
  PlatformStandin,
  sendRequest,
  StallableProxy,
  type RunnerStandin,
} from '@banyanfold/platform/standins';
import {CALL_KINDS} from './callers.js';
import {EntryProcess} from './entryProcess.js';
import {FaultProxy} from './faultProxy.js';
import {pause} from './pause.js';
import type {Draw} from './random.js';

export interface LeavingSystemOptions {
  /** For settings and logs. */
  folder: string;
  draw: Draw;
  /** Whether each entry is stopped half of the time, as on half a core. */
  isHalfCore: boolean;
}

/** How the store comes to know that a runner leaves. */
export type LeavingWay = 'draining' | 'gone';

export interface LeavingEntry {
  process: EntryProcess;
  storeLink: FaultProxy;
}

interface LeavingCall {
  entry: string;
  sentMs: number;
  waitedMs: number;
  isServed: boolean;
}

const ENTRIES = 6;
const SERVICES = ['desk', 'drafting'] as const;
const RUNNERS_EACH = 5;
const CALL_INTERVAL_MS = 5;
const CALL_KIND_NAMES = ['status', 'status', 'lodge', 'letter', 'adapter'];
const DEADLINE_MS = 3_000;
const START_MS = 30_000;
const START_POLL_MS = 100;
const STOPPED_MS = 50;
const SLICE_MS = 100;

/** Six entries behind proxies to the store, and callers at a steady rate. */
export class LeavingSystem {
  readonly platform = new PlatformStandin();
  readonly entries: LeavingEntry[] = [];
  /** Proxies before the runners, by runner id. */
  readonly proxies = new Map<string, StallableProxy>();
  private readonly runners = new Map<string, RunnerStandin[]>();
  private readonly calls: LeavingCall[] = [];
  private readonly frozen = new Set<LeavingEntry>();
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly open = new Set<Promise<void>>();
  private made = 0;
  private asked = 0;
  private isOver = false;

  constructor(private readonly options: LeavingSystemOptions) {}

  async start(): Promise<void> {
    await this.platform.start();
    for (const service of SERVICES) {
      this.runners.set(service, []);
      for (let i = 0; i < RUNNERS_EACH; i++) await this.addRunner(service);
    }
    await this.startEntries();
    await this.untilServed();
    this.timers.push(setInterval(() => this.call(), CALL_INTERVAL_MS));
    if (this.options.isHalfCore) {
      for (const entry of this.entries) void this.throttle(entry);
    }
  }

  private async startEntries(): Promise<void> {
    const ports = await freePorts(ENTRIES * 3);
    for (let i = 0; i < ENTRIES; i++) {
      const [callers, readiness, peers] = ports.slice(i * 3);
      const storeLink = new FaultProxy(this.platform.store.address);
      await storeLink.listen();
      const process = new EntryProcess({
        name: `entry-${i}`,
        folder: this.options.folder,
        ports: {
          store: storeLink.address,
          callers: callers!,
          readiness: readiness!,
          peers: peers!,
        },
      });
      process.start();
      this.entries.push({process, storeLink});
    }
  }

  async stop(): Promise<void> {
    this.isOver = true;
    for (const timer of this.timers) clearInterval(timer);
    await Promise.all(this.entries.map(({process}) => process.stop()));
    for (const {storeLink} of this.entries) storeLink.close();
    for (const proxy of this.proxies.values()) proxy.close();
    this.platform.stop();
    await Promise.all(this.open);
  }

  /** The entry that gives orders to runners; undefined while there is none. */
  holder(): LeavingEntry | undefined {
    const owner = this.platform.store.groupOwner ?? '';
    return this.entries.find(({process}) =>
      owner.startsWith(process.peersAddress),
    );
  }

  freeze(entry: LeavingEntry): void {
    this.frozen.add(entry);
    entry.process.signal('SIGSTOP');
  }

  thaw(entry: LeavingEntry): void {
    this.frozen.delete(entry);
    entry.process.signal('SIGCONT');
  }

  pickOfEachService(): RunnerStandin[] {
    return SERVICES.map(service =>
      this.options.draw.pick(this.runners.get(service)!),
    );
  }

  /** The store acknowledges that a runner leaves; the runner serves on. */
  leave(runner: RunnerStandin, way: LeavingWay): void {
    if (way === 'gone') this.platform.removeRunner(runner);
    else this.platform.drainRunner(runner);
  }

  /** Ends a runner that has left; another one comes under a new id. */
  async replace(runner: RunnerStandin): Promise<void> {
    const {runnerId} = runner;
    runner.close();
    this.platform.removeRunner(runner);
    this.proxies.get(runnerId)?.close();
    this.proxies.delete(runnerId);
    for (const [service, runners] of this.runners) {
      const at = runners.indexOf(runner);
      if (at < 0) continue;
      runners.splice(at, 1);
      await this.addRunner(service);
    }
  }

  /** Calls of a period that have ended. */
  callsSince(fromMs: number): LeavingCall[] {
    return this.calls.filter(({sentMs}) => sentMs >= fromMs);
  }

  /** Waits until each entry answers each kind of call. */
  async untilServed(): Promise<void> {
    const endMs = performance.now() + START_MS;
    for (const {process} of this.entries) {
      for (const kind of new Set(CALL_KIND_NAMES)) {
        while (!(await this.ask(process, kind, 'probe'))) {
          if (performance.now() > endMs) throw new Error('never served');
          await pause(START_POLL_MS);
        }
      }
    }
  }

  private async addRunner(service: string): Promise<void> {
    this.made += 1;
    const isModelRunner = service === 'drafting';
    const runnerId = `${service}-${this.made}`;
    const runner = await this.platform.addRunner(
      {
        runnerId,
        service,
        models: isModelRunner ? [{name: 'm1', adapters: ['a2']}] : [],
        events: 5,
        eventPauseMs: 20,
      },
      async address => {
        const proxy = new StallableProxy(address);
        await proxy.listen();
        this.proxies.set(runnerId, proxy);
        return proxy.address;
      },
    );
    // On the platform, a record is written only when something has changed.
    this.platform.stopHeartbeats(runner);
    this.runners.get(service)!.push(runner);
  }

  private call(): void {
    const {draw} = this.options;
    const {process} = draw.pick(this.entries);
    const sentMs = performance.now();
    const asked = this.ask(process, draw.pick(CALL_KIND_NAMES), process.name);
    const done = asked.then(isServed => {
      const waitedMs = performance.now() - sentMs;
      this.calls.push({entry: process.name, sentMs, waitedMs, isServed});
      this.open.delete(done);
    });
    this.open.add(done);
  }

  private async ask(
    {callersPort}: EntryProcess,
    kind: string,
    name: string,
  ): Promise<boolean> {
    const {route, headers} = CALL_KINDS[kind]!;
    const {status, isTruncated} = await sendRequest({
      port: callersPort,
      route,
      id: `${name}.${++this.asked}`,
      headers: {...headers, 'deadline-ms': String(DEADLINE_MS)},
      body: 'x',
    });
    return status === 200 && !isTruncated;
  }

  private async throttle(entry: LeavingEntry): Promise<void> {
    while (!this.isOver) {
      if (!this.frozen.has(entry)) entry.process.signal('SIGSTOP');
      await pause(STOPPED_MS);
      if (!this.frozen.has(entry)) entry.process.signal('SIGCONT');
      await pause(SLICE_MS - STOPPED_MS);
    }
  }
}
