// A small deployment on loopback: the entries as separate processes with the
// command of the deploy file, the platform that sends them channels, and
// requesters.
import {spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Store, sleep} from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** As in deploy/system.toml. */
const COMMAND = 'node --max-old-space-size=160 target/main.cjs entry';
const FIRST_PORT = 21_000;
const PORT_STEPS = 400;
const PORTS_PER_STEP = 25;
const STORE_HOST = '127.0.0.1';
const CHECK_INTERVAL_MS = 1_000;
const MISSES = 2;
const RESTART_MS = 300;
/** The figures of the sheet of the co-operative, or defaults of DEPLOY.md. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  downgrade_slack_ms: 250,
  max_stretch_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 56,
  recover_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  fencing_enabled: true,
  lease_ms: 3000,
  thaw_ms: 300,
  ceiling_window_s: 5,
  ceiling_factor: 1.1,
};

/** Writes `record.txt`; each line begins with the seconds since the start. */
export class Record {
  constructor(folder) {
    this.stream = createWriteStream(join(folder, 'record.txt'));
    this.startMs = performance.now();
  }

  line = text => {
    this.stream.write(`${this.seconds(performance.now())} s  ${text}\n`);
  };

  seconds(atMs) {
    return ((atMs - this.startMs) / 1000).toFixed(3).padStart(8);
  }

  /** One line for each request: what its requester and the runners saw. */
  requests(results, runners) {
    for (const result of results) {
      const {id, sentMs, endedMs, outcome, status = '', entry} = result;
      const events = runners
        .flatMap(({seen}) => seen.get(id) ?? [])
        .flatMap(each => each.events)
        .sort((a, b) => a.atMs - b.atMs)
        .map(({atMs, what}) => `+${Math.round(atMs - sentMs)} ms ${what}`);
      const end = `+${Math.round(endedMs - sentMs)} ms ${outcome} ${status}`;
      this.stream.write(
        `${this.seconds(sentMs)} s  ${id} sent to ${entry.name}; ` +
          `${[...events, end].join('; ')}\n`,
      );
    }
  }

  close() {
    return new Promise(resolve => this.stream.end(resolve));
  }
}

/** One machine of the class `frontend`, and its process. */
export class Entry {
  isIn = true;
  misses = 0;
  /** Times of the SIGTERMs. */
  stops = [];
  starts = 0;

  constructor({host, zone, ports, folder, storeAddress, bounds, log}) {
    Object.assign(this, {host, zone, ports, folder, log});
    this.name = `frontend-${zone}-${host.split('.').at(-1)}`;
    this.settings = {
      node_name: this.name,
      role: 'entry',
      machine_class: 'frontend',
      serves: ['frontend'],
      ip: host,
      zone,
      region: 'region-1',
      zones: {[zone]: 'region-1'},
      listen: {
        frontend: `${host}:${ports.callers}`,
        readiness: `${host}:${ports.readiness}`,
      },
      internal_port_range: [ports.peers, ports.peers + 15],
      seeds: [],
      bootstrap: true,
      limits: {
        cpu_share: 0.513,
        cores: 1,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'fleet',
        'stream',
        'engine',
        'platform',
      ],
      bounds: {...BOUNDS, ...bounds},
      platform: {
        address: storeAddress,
        form: 'log',
        writes_per_s: 400,
        reads_per_s: 2000,
        parts: 8,
        append_ms: 4,
        keep_s: 300,
        ttl_min_ms: 1000,
      },
    };
  }

  start() {
    const file = join(this.folder, `${this.name}.json`);
    const bootstrap = this.starts === 0;
    writeFileSync(file, JSON.stringify({...this.settings, bootstrap}));
    this.starts += 1;
    const [program, ...words] = COMMAND.split(' ');
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, BANYANFOLD_BOOT: file},
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const logFile = createWriteStream(join(this.folder, `${this.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(logFile);
    this.child = child;
    child.once('exit', (code, signal) => {
      this.log(`${this.name}: its process has ended (${signal ?? code})`);
      if (this.child === child) this.child = undefined;
    });
  }

  /** SIGTERM; SIGKILL after `grace_s`; the platform starts it again. */
  async restart() {
    const {child} = this;
    if (!child) return;
    this.stops.push(performance.now());
    this.log(`${this.name}: SIGTERM`);
    child.kill('SIGTERM');
    const kill = setTimeout(() => child.kill('SIGKILL'), 8_000);
    if (child.exitCode === null) {
      await new Promise(resolve => child.once('exit', resolve));
    }
    clearTimeout(kill);
    await sleep(RESTART_MS);
    if (!this.isClosed) this.start();
  }

  close() {
    this.isClosed = true;
    this.child?.kill('SIGKILL');
  }

  /** The platform's check, once a second. */
  async check() {
    const {host, ports} = this;
    const isReady = await answers200(host, ports.readiness, '/-/readiness');
    this.misses = isReady ? 0 : this.misses + 1;
    const wasIn = this.isIn;
    if (isReady) this.isIn = true;
    else if (this.misses >= MISSES) this.isIn = false;
    if (wasIn !== this.isIn) {
      this.log(`${this.name}: ${this.isIn ? 'in' : 'out of'} rotation`);
    }
  }
}

/** The store, the entries and the platform's distribution of channels. */
export class Deployment {
  entries = [];

  constructor(log) {
    this.log = log;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
    // Also if the script itself is ended, no entry stays.
    process.once('exit', () => this.entries.forEach(entry => entry.close()));
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
      process.once(signal, () => process.exit(2));
    }
  }

  /** @param hosts loopback addresses of the entries, all in one zone. */
  async start({hosts, zone, config, bounds}) {
    const storeAddress = await this.store.listen(STORE_HOST);
    this.store.put('keyed.op', 'config', config);
    const ports = await freePorts(hosts);
    for (const host of hosts) {
      const {folder, log} = this;
      this.entries.push(
        new Entry({host, zone, ports, folder, storeAddress, bounds, log}),
      );
    }
    for (const entry of this.entries) entry.start();
    const endMs = performance.now() + 15_000;
    for (const {host} of this.entries) {
      while (!(await answers200(host, ports.readiness, '/-/readiness'))) {
        if (performance.now() > endMs) throw new Error('no entry is ready');
        await sleep(50);
      }
    }
    this.timer = setInterval(() => {
      for (const entry of this.entries) void entry.check();
    }, CHECK_INTERVAL_MS);
  }

  /** The entry that the next new channel goes to. */
  pick() {
    const ready = this.entries.filter(({isIn}) => isIn);
    const isFew = ready.length < this.entries.length / 2;
    const open = isFew ? this.entries : ready;
    return open[Math.floor(Math.random() * open.length)];
  }

  stop() {
    clearInterval(this.timer);
    for (const entry of this.entries) entry.close();
    this.store.close();
    if (process.env.KEEP === undefined) {
      rmSync(this.folder, {recursive: true, force: true});
    } else console.log(this.folder);
  }
}

let requestCount = 0;

/**
 * Sends one request on a new channel, as a requester does, and waits for its
 * answer until its deadline.
 */
export function sendRequest({entry, path, host, method, deadlineMs}) {
  requestCount += 1;
  const id = (requestCount + 0x9c41d00000000).toString(16).padStart(16, '0');
  const result = {id, entry, sentMs: performance.now(), deadlineMs};
  return new Promise(resolve => {
    const finish = (outcome, fields = {}) => {
      if (result.outcome !== undefined) return;
      clearTimeout(timer);
      Object.assign(result, {outcome, endedMs: performance.now()}, fields);
      resolve(result);
    };
    const request = http.request({
      host: entry.host,
      port: entry.ports.callers,
      method,
      path,
      agent: false,
      headers: {
        host,
        'request-id': id,
        'deadline-ms': String(deadlineMs),
        'content-length': '0',
      },
    });
    const timer = setTimeout(() => {
      finish('deadline');
      request.destroy();
    }, deadlineMs);
    request.on('error', error => {
      const isRefused = error.code === 'ECONNREFUSED';
      finish(isRefused ? 'not connected' : 'closed without an answer');
    });
    request.on('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', () => finish('answer broken off'));
      response.on('end', () => {
        const {statusCode: status, headers} = response;
        const body = Buffer.concat(chunks).toString('utf8');
        finish('answered', {status, headers, body});
      });
    });
    request.end();
  });
}

/**
 * Sends a request for a stream on a new channel, and reads its events until its
 * end or deadline.
 */
export function sendStream(options) {
  const {entry, path, host, model, deadlineMs, tokens, headers} = options;
  requestCount += 1;
  const id = (requestCount + 0x9c41d00000000).toString(16).padStart(16, '0');
  const pieces = [];
  const result = {id, entry, sentMs: performance.now(), deadlineMs, pieces};
  return new Promise(resolve => {
    const finish = (outcome, fields = {}) => {
      if (result.outcome !== undefined) return;
      clearTimeout(timer);
      Object.assign(result, {outcome, endedMs: performance.now()}, fields);
      request.destroy();
      resolve(result);
    };
    const request = http.request({
      host: entry.host,
      port: entry.ports.callers,
      method: 'POST',
      path,
      agent: false,
      headers: {
        host,
        'request-id': id,
        'deadline-ms': String(deadlineMs),
        model: model,
        'token-count': tokens,
        'prompt-prefix': `5c1e07a2:198,${id}:628`,
        'content-length': '0',
        ...headers,
      },
    });
    const timer = setTimeout(() => finish('deadline'), deadlineMs);
    request.on('error', () => finish('closed without an answer'));
    request.on('response', response => {
      const {statusCode: status} = response;
      let text = '';
      response.setEncoding('utf8');
      response.on('data', chunk => {
        text += chunk;
        const blocks = text.split('\n\n');
        text = blocks.pop();
        if (status !== 200) return;
        for (const block of blocks) {
          const [, eventId, data] = /^id: (\d+)\ndata: (.*)$/.exec(block);
          pieces.push({id: Number(eventId), data});
        }
      });
      response.on('error', () => finish('answer broken off', {status}));
      response.on('end', () => finish('answered', {status}));
    });
    request.end();
  });
}

/** A route to a plain service. */
export function route(name, type, service, fields = {}) {
  return {
    name,
    hostname: 'desk.example',
    path_prefix: `/${name}/`,
    route_type: type,
    timeout_ms: 1500,
    target_latency_ms: 121,
    priority: 0,
    max_attempts: type === 'idempotent' ? 2 : 1,
    service,
    ...fields,
  };
}

export const LIMITS = {
  max_header_bytes: 8192,
  max_body_bytes: 1_048_576,
  header_timeout_ms: 5000,
  idle_timeout_ms: 15_000,
};

function answers200(host, port, path) {
  return new Promise(resolve => {
    const request = http.get({host, port, path, agent: false, timeout: 900});
    request.on('response', response => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

/** Ports that are free at each of the hosts. */
async function freePorts(hosts) {
  for (let tries = 0; tries < 50; tries++) {
    const step = Math.floor(Math.random() * PORT_STEPS);
    const first = FIRST_PORT + step * PORTS_PER_STEP;
    const wanted = [first, first + 1, first + 2];
    const checks = hosts.flatMap(h => wanted.map(port => isFree(h, port)));
    if ((await Promise.all(checks)).every(Boolean)) {
      return {callers: first, readiness: first + 1, peers: first + 2};
    }
  }
  throw new Error('no free ports');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
