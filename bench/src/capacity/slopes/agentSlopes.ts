import {createAgentClient} from '@banyanfold/protocol';
import {EngineStandin, LogStandin} from '@banyanfold/standins';
import {Agent} from 'undici';
import {HostProcess} from '../hosts/hostProcess.js';
import type {Point} from '../model/fit.js';
import {toSlope, type Slope} from '../model/slope.js';
import {INTERVALS} from '../model/target.js';

const ENTRY_COUNTS = [0, 5, 20, 90, 365, 730];
const SETTLE_MS = 6_000;
const WINDOW_MS = 6_000;
const HOST = '127.0.0.1';
const KEY = 'bench-internal-key';

/** What a real agent spends while so many entries ask for its report. */
export async function agentSlopes(): Promise<Slope[]> {
  const cpu: Point[] = [];
  const rss: Point[] = [];
  for (const entries of ENTRY_COUNTS) {
    const {cpuUsPerSecond, rssBytes, pollsPerSecond} = await measure(entries);
    cpu.push({x: pollsPerSecond, y: cpuUsPerSecond});
    rss.push({x: entries, y: rssBytes});
  }
  return [
    toSlope('agent cpu', 'us/s', 'report asked a second', cpu),
    toSlope('agent rss', 'bytes', 'entry connected', rss),
  ];
}

async function measure(entries: number) {
  const engine = new EngineStandin({port: 0});
  const log = new LogStandin({port: 0});
  const host = HostProcess.start();
  const {port: enginePort} = await engine.start();
  const {port: logPort} = await log.start();
  const {port} = await host.ask({
    kind: 'start-agent',
    options: {
      internalKey: KEY,
      enginePort,
      logPort,
      reportIntervalMs: INTERVALS.engineReportMs,
    },
  });
  const pollers = startPollers(port, entries);
  try {
    await pause(SETTLE_MS);
    const before = await host.sample();
    const startedMs = performance.now();
    const pollsBefore = pollers.answered();
    await pause(WINDOW_MS);
    const after = await host.sample();
    const seconds = (performance.now() - startedMs) / 1_000;
    return {
      cpuUsPerSecond: (after.cpuUs - before.cpuUs) / seconds,
      pollsPerSecond: (pollers.answered() - pollsBefore) / seconds,
      rssBytes: after.rssBytes,
    };
  } finally {
    pollers.stop();
    await Promise.all([host.end(), engine.stop(), log.stop()]);
  }
}

/** Each entry has its own connection and its own moment to ask. */
function startPollers(port: number, entries: number) {
  let answered = 0;
  const timers: NodeJS.Timeout[] = [];
  const dispatchers: Agent[] = [];
  for (let index = 0; index < entries; index++) {
    const dispatcher = new Agent({connections: 1});
    dispatchers.push(dispatcher);
    const client = createAgentClient({
      host: HOST,
      port,
      internalKey: KEY,
      dispatcher,
    });
    const ask = () => {
      client.report.query().then(
        () => answered++,
        () => {},
      );
    };
    const delayMs = (index / entries) * INTERVALS.reportMs;
    timers.push(
      setTimeout(
        () => timers.push(setInterval(ask, INTERVALS.reportMs)),
        delayMs,
      ),
    );
  }
  return {
    answered: () => answered,
    stop() {
      for (const timer of timers) clearInterval(timer);
      for (const dispatcher of dispatchers) void dispatcher.destroy();
    },
  };
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
