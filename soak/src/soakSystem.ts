import {
  freePorts,
  PlatformStandin,
  type RunnerFault,
  type RunnerStandin,
} from '@banyanfold/platform/standins';
import type {Herd} from './callers.js';
import {CRASHING_BODY, CRASHING_PART} from './crashingCaller.js';
import {EntryProcess} from './entryProcess.js';
import {FaultProxy} from './faultProxy.js';

/** One runner behind a proxy, and the one that takes its place. */
export interface RunnerPlace {
  service: string;
  proxy: FaultProxy;
  runner: RunnerStandin;
}

export interface EntryPlace {
  process: EntryProcess;
  storeLink: FaultProxy;
}

/** When the store acknowledged that a runner leaves. */
export interface Leaving {
  runnerId: string;
  atMs: number;
}

export const STREAM_EVENTS = 6;
const EVENT_PAUSE_MS = 12;
/** The store of a deployment takes about this long. */
const STORE_DELAY_MS = 4;
const ENTRIES = 3;
const MODEL_RUNNERS = 3;
const PLAIN_RUNNERS = 3;
const MODELS_HELD = ['m1', 'm2', 'm1'];
/** As the stand-in's configuration has them. */
const CAPACITY = {weightsMb: 100, adapterSlots: 2, modelMb: {m1: 60, m2: 30}};

/** Entries as processes, with store and runners behind proxies. */
export class SoakSystem {
  readonly platform = new PlatformStandin();
  readonly entries: EntryPlace[] = [];
  readonly runnerPlaces: RunnerPlace[] = [];
  /** All runners that ever were, for what they saw. */
  readonly runners: RunnerStandin[] = [];
  readonly faults: Record<string, RunnerFault[]> = {drafting: [], desk: []};
  readonly herd: Herd = {};
  /** When runners crashed under the request that crashes them. */
  readonly crashesMs: number[] = [];
  readonly leavings: Leaving[] = [];
  private runnersMade = 0;

  /**
   * @param folder for settings and logs.
   * @param extraSettings fields of the entries' settings beyond the usual ones.
   * @param versions how many software versions model runners have by turns.
   */
  constructor(
    private readonly folder: string,
    private readonly extraSettings: object = {},
    private readonly versions = 1,
  ) {}

  async start(): Promise<void> {
    await this.platform.start();
    this.platform.store.answerDelayMs = STORE_DELAY_MS;
    for (let i = 0; i < MODEL_RUNNERS; i++) {
      this.runnerPlaces.push(await this.makeRunner('drafting', i));
    }
    for (let i = 0; i < PLAIN_RUNNERS; i++) {
      this.runnerPlaces.push(await this.makeRunner('desk', i));
    }
    const ports = await freePorts(ENTRIES * 3);
    for (let i = 0; i < ENTRIES; i++) {
      const [callers, readiness, peers] = ports.slice(i * 3);
      const storeLink = new FaultProxy(this.platform.store.address);
      await storeLink.listen();
      const process = new EntryProcess({
        name: `entry-${i}`,
        folder: this.folder,
        extraSettings: this.extraSettings,
        ports: {
          store: storeLink.address,
          callers: callers!,
          readiness: readiness!,
          peers: peers!,
        },
      });
      this.entries.push({process, storeLink});
      process.start();
    }
  }

  /** The store acknowledges that a runner leaves; it serves on. */
  drainRunner({runner}: RunnerPlace): void {
    this.platform.drainRunner(runner);
    const {runnerId} = runner;
    this.leavings.push({runnerId, atMs: performance.now()});
  }

  /** The store removes a runner that has not said that it leaves. */
  removeRegistration({runner}: RunnerPlace): void {
    this.platform.removeRunner(runner);
    const {runnerId} = runner;
    this.leavings.push({runnerId, atMs: performance.now()});
  }

  /** The runner of a place is gone; an empty one of another id comes. */
  async replaceRunner(place: RunnerPlace): Promise<void> {
    const at = this.runnerPlaces.indexOf(place);
    place.runner.close();
    place.proxy.close();
    this.platform.removeRunner(place.runner);
    this.runnerPlaces[at] = await this.makeRunner(place.service);
  }

  private async replaceCrashed(crashed: RunnerStandin): Promise<void> {
    this.crashesMs.push(performance.now());
    const place = this.runnerPlaces.find(({runner}) => runner === crashed);
    if (place) await this.replaceRunner(place);
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map(({process}) => process.stop()));
    for (const {storeLink} of this.entries) storeLink.close();
    for (const {proxy} of this.runnerPlaces) proxy.close();
    this.platform.stop();
  }

  private async makeRunner(
    service: string,
    holds?: number,
  ): Promise<RunnerPlace> {
    this.runnersMade += 1;
    const model = holds === undefined ? undefined : MODELS_HELD[holds];
    const isModelRunner = service === 'drafting';
    let proxy: FaultProxy | undefined;
    const runner = await this.platform.addRunner(
      {
        runnerId: `${service}-${this.runnersMade}`,
        service,
        softwareVersion: `v${1 + (this.runnersMade % this.versions)}`,
        models: isModelRunner && model ? [{name: model, adapters: []}] : [],
        events: STREAM_EVENTS,
        eventPauseMs: EVENT_PAUSE_MS,
        faults: this.faults[service],
        crashesOn: (body, parts) =>
          body === CRASHING_BODY || parts.includes(CRASHING_PART),
        onCrash: crashed => void this.replaceCrashed(crashed),
        ...(isModelRunner && CAPACITY),
      },
      async address => {
        proxy = new FaultProxy(address);
        await proxy.listen();
        return proxy.address;
      },
    );
    this.runners.push(runner);
    return {service, proxy: proxy!, runner};
  }
}
