import {FleetShares} from '../shares/fleetShares.js';
import {OrganisationShare} from '../shares/organisationShare.js';
import {poisson} from './randomOf.js';
import type {
  OrganisationOutcome,
  SharesOptions,
  SharesOutcome,
} from './sharesLoad.js';
import type {
  PoolBacklog,
  ShareDemand,
  ShareLimits,
} from '../shares/shareDemand.js';

const POOL = 'drafting';
const STEP_MS = 10;
const EXCHANGE_MS = 250;
const TARGET_MS = 800;
/** Callers leave after this time without a response, and return once. */
const PATIENCE_MS = 4_000;
const MEAN_WORK = 4;
const MS_PER_SECOND = 1000;

interface Request {
  organisation: number;
  entry: number;
  work: number;
  leftWork: number;
  startedMs: number;
  arrivedMs: number;
  isReturn: boolean;
}

interface Report {
  demand: ShareDemand[];
  completed: number;
  backlog: number;
  waiting: number;
}

interface Entry {
  share: OrganisationShare;
  demand: Map<string, ShareDemand>;
  completed: number;
  backlog: number;
  waiting: number;
  delayedReport?: Report;
  delayedLimits: ShareLimits;
}

/** Simulates organisations whose requests compete for one queue. */
export function simulateShares(options: SharesOptions): SharesOutcome {
  return new Simulation(options).run();
}

class Simulation {
  private readonly entries: Entry[];
  private readonly returns: Request[] = [];
  private readonly held: Request[] = [];
  /** In order of arrival, like the queue of a runner. */
  private readonly queue: Request[] = [];
  private holder: FleetShares;
  private readonly reported = new Map<
    number,
    {atMs: number; work: number; waiting: number}
  >();
  private readonly outcome: SharesOutcome;
  private nowMs = 0;
  private unusedWork = 0;

  constructor(private readonly options: SharesOptions) {
    this.entries = Array.from({length: options.entries}, newEntry);
    this.holder = this.newHolder();
    this.outcome = {
      byOrganisation: Array.from({length: options.organisations}, () => ({
        asked: 0,
        served: 0,
        longestWaitMs: 0,
      })),
      unused: 0,
      refused: 0,
      lastRefusalMs: -Infinity,
    };
  }

  run(): SharesOutcome {
    const {durationMs, capacity, newHolderMs} = this.options;
    const {countedFromMs, countedToMs} = this.options;
    for (; this.nowMs < durationMs; this.nowMs += STEP_MS) {
      if (this.nowMs === newHolderMs) this.holder = this.newHolder();
      this.arrive();
      this.work();
      this.exchange();
    }
    const countedSeconds = (countedToMs - countedFromMs) / MS_PER_SECOND;
    this.outcome.unused = this.unusedWork / (capacity * countedSeconds);
    return this.outcome;
  }

  private newHolder(): FleetShares {
    const {weightOf = () => 1} = this.options;
    return new FleetShares(this.nowMs, weightOf);
  }

  private arrive(): void {
    const {organisations, demandOf, random, entryOf} = this.options;
    const {nowMs} = this;
    for (let organisation = 0; organisation < organisations; organisation++) {
      const perStep = (demandOf(organisation, nowMs) * STEP_MS) / MS_PER_SECOND;
      for (let i = poisson(perStep / MEAN_WORK, random); i > 0; i--) {
        const work = 1 + random() * 2 * (MEAN_WORK - 1);
        const entry = entryOf?.(organisation) ?? this.anyEntry();
        const times = {startedMs: nowMs, arrivedMs: nowMs};
        const parts = {organisation, entry, work, leftWork: work};
        this.decide({...parts, ...times, isReturn: false});
        if (this.isCounted(nowMs)) this.outcomeOf(organisation).asked += work;
      }
    }
    for (const due of take(this.returns, r => r.startedMs <= nowMs)) {
      this.decide({...due, entry: this.anyEntry()});
    }
    const thawed = take(this.held, ({entry}) => !this.isFrozen(entry));
    for (const request of thawed) this.decide(request);
  }

  private decide(request: Request): void {
    const {nowMs} = this;
    const {entry: index, work, organisation: number} = request;
    const {random, hasShares = true} = this.options;
    if (this.isFrozen(index)) return void this.held.push(request);
    const entry = this.entries[index]!;
    const organisation = `o${number}`;
    const id = {pool: POOL, organisation, priority: 1};
    const leftMs = request.startedMs + PATIENCE_MS * 2 - nowMs;
    const decision = entry.share.decide({...id, nowMs, leftMs, random});
    const demand = entry.demand.get(organisation);
    entry.demand.set(organisation, {
      ...id,
      asked: (demand?.asked ?? 0) + work,
      admitted: 0,
    });
    if (!hasShares || decision.kind === 'admit') {
      this.queue.push(request);
      entry.backlog += work;
      entry.waiting += 1;
      return;
    }
    this.outcome.refused += 1;
    this.outcome.lastRefusalMs = nowMs;
    if (request.isReturn) return;
    const startedMs = nowMs + decision.retryAfterMs;
    this.returns.push({...request, startedMs, isReturn: true});
  }

  private work(): void {
    const {capacity, capacityShareAt} = this.options;
    const capacityShare = capacityShareAt?.(this.nowMs) ?? 1;
    let left = (capacity * capacityShare * STEP_MS) / MS_PER_SECOND;
    const {queue, nowMs} = this;
    while (left > 0 && queue.length > 0) {
      const [request] = queue;
      const isLeft = nowMs - request!.startedMs > PATIENCE_MS;
      const done = isLeft ? 0 : Math.min(left, request!.leftWork);
      request!.leftWork -= done;
      left -= done;
      if (!isLeft && request!.leftWork > 0) return;
      queue.shift();
      this.end(request!, !isLeft);
    }
    const isRefusing = nowMs - this.outcome.lastRefusalMs < EXCHANGE_MS;
    if (this.isCounted(nowMs) && isRefusing) this.unusedWork += left;
  }

  private end(request: Request, isServed: boolean): void {
    const {work, startedMs, arrivedMs, entry: index} = request;
    const entry = this.entries[index]!;
    entry.backlog = Math.max(0, entry.backlog - work);
    entry.waiting -= 1;
    if (!isServed || this.isKilled(index)) return;
    entry.completed += work;
    if (!this.isCounted(arrivedMs)) return;
    const outcome = this.outcomeOf(request.organisation);
    outcome.served += work;
    const waitMs = this.nowMs - startedMs;
    outcome.longestWaitMs = Math.max(outcome.longestWaitMs, waitMs);
  }

  private exchange(): void {
    const {isDisconnected, isRelayed = false} = this.options;
    const {nowMs} = this;
    this.entries.forEach((entry, index) => {
      const phaseMs = (index * STEP_MS) % EXCHANGE_MS;
      if (nowMs % EXCHANGE_MS !== phaseMs) return;
      if (this.isKilled(index) || this.isFrozen(index)) return;
      if (isDisconnected?.(index, nowMs)) return;
      const report = {
        demand: [...entry.demand.values()],
        completed: entry.completed,
        backlog: entry.backlog,
        waiting: entry.waiting,
      };
      entry.demand.clear();
      entry.completed = 0;
      this.receive(index, isRelayed ? entry.delayedReport : report);
      entry.delayedReport = report;
      const limits = this.holder.limits(() => this.backlogs(), nowMs);
      if (!isRelayed) return entry.share.update(limits, nowMs);
      entry.share.update(entry.delayedLimits, nowMs - EXCHANGE_MS);
      entry.delayedLimits = limits;
    });
  }

  private receive(index: number, report: Report | undefined): void {
    if (!report) return;
    const {nowMs, holder} = this;
    const {demand, completed, backlog, waiting} = report;
    holder.addDemand(demand, nowMs);
    holder.addProgress([{pool: POOL, completed, dropped: 0}], nowMs);
    this.reported.set(index, {atMs: nowMs, work: backlog, waiting});
  }

  private backlogs(): Record<string, PoolBacklog> {
    let work = 0;
    let requests = 0;
    for (const reported of this.reported.values()) {
      if (this.nowMs - reported.atMs >= 2_000) continue;
      work += reported.work;
      requests += reported.waiting;
    }
    return {[POOL]: {requests, work, workMs: work * TARGET_MS}};
  }

  private isCounted(atMs: number): boolean {
    const {countedFromMs, countedToMs} = this.options;
    return atMs >= countedFromMs && atMs < countedToMs;
  }

  private outcomeOf(organisation: number): OrganisationOutcome {
    return this.outcome.byOrganisation[organisation]!;
  }

  private anyEntry(): number {
    const {random, entries} = this.options;
    let entry = Math.floor(random() * entries);
    while (this.isKilled(entry)) entry = Math.floor(random() * entries);
    return entry;
  }

  private isFrozen(entry: number): boolean {
    return this.options.isFrozen?.(entry, this.nowMs) ?? false;
  }

  private isKilled(entry: number): boolean {
    return this.options.isKilled?.(entry, this.nowMs) ?? false;
  }
}

function newEntry(): Entry {
  const share = new OrganisationShare();
  const demand = new Map<string, ShareDemand>();
  return {
    share,
    demand,
    completed: 0,
    backlog: 0,
    waiting: 0,
    delayedLimits: {},
  };
}

/** Removes the elements for which `isTaken` holds, and returns them. */
function take<T>(list: T[], isTaken: (each: T) => boolean): T[] {
  const taken = list.filter(isTaken);
  if (taken.length === 0) return taken;
  list.splice(0, list.length, ...list.filter(each => !isTaken(each)));
  return taken;
}
