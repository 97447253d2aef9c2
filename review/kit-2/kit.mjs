// Stand-ins of the platform for the scripts of this review: a store, the
// processes of the system, and helpers. They follow PROTOCOL.md and use
// loopback addresses only.
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));
export const TROUBLE = process.env.TROUBLE !== '0';
export const sleep = ms => new Promise(done => setTimeout(done, ms));
export const newId = () => randomBytes(8).toString('hex');

/** Writes lines with the time since the start to record.txt and stdout. */
export function createRecord(folder) {
  const path = join(folder, 'record.txt');
  const startedMs = performance.now();
  writeFileSync(path, '');
  return line => {
    const atS = ((performance.now() - startedMs) / 1000).toFixed(3);
    const text = `${atS.padStart(8)} ${line}`;
    appendFileSync(path, `${text}\n`);
    console.log(text);
  };
}

/** Returns ports that nothing listens on at the address. */
export async function freePorts(host, count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = net.createServer();
    await new Promise((done, fail) => {
      server.once('error', fail);
      server.listen(0, host, done);
    });
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(done => server.close(done))),
  );
  return ports;
}

/** The platform's store: topics, newest records and one partition per group. */
export class Store {
  topics = new Map();
  groups = new Map();
  era = 1;
  servers = [];

  /**
   * Opens an address of the store. All calls at it are turned away with 503
   * while `door.isClosed` is set, as the store may do with some machines.
   */
  async open(host = '127.0.0.1') {
    const door = {isClosed: false, turnedAway: 0};
    const server = http.createServer((request, response) => {
      this.handle(request, response, door).catch(() => response.destroy());
    });
    await new Promise(done => server.listen(0, host, done));
    this.servers.push(server);
    door.address = `${host}:${server.address().port}`;
    return door;
  }

  close() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = {records: [], first: 0, newest: new Map(), waiters: new Set()};
      this.topics.set(name, topic);
    }
    return topic;
  }

  /** Writes a record, as the operator or a runner does; no value drops it. */
  put(name, key, value) {
    const bytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    const keyBytes = Buffer.from(key);
    this.append(name, [
      Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, bytes]),
    ]);
  }

  append(name, records) {
    const topic = this.topic(name);
    const offset = topic.first + topic.records.length;
    topic.records.push(...records);
    if (name.startsWith('keyed.')) {
      records.forEach((record, i) => {
        const end = 1 + record[0];
        const key = record.toString('utf8', 1, end);
        const value = record.subarray(end);
        if (value.length === 0) topic.newest.delete(key);
        else topic.newest.set(key, {value, offset: offset + i});
      });
    }
    for (const wake of topic.waiters) wake();
    return offset;
  }

  async handle(request, response, door) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    response.setHeader('store-era', String(this.era));
    const send = (status, value) => {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(value));
    };
    if (door.isClosed) {
      door.turnedAway += 1;
      return send(503, {});
    }
    const query = name => url.searchParams.get(name);
    const topic = () => this.topic(query('topic'));
    switch (url.pathname) {
      case '/-/log-append': {
        const records = [];
        for (let at = 0; at < body.length;) {
          const end = at + 4 + body.readUInt32BE(at);
          records.push(Buffer.from(body.subarray(at + 4, end)));
          at = end;
        }
        const offset = this.append(query('topic'), records);
        return send(200, {offset, end_offset: offset + records.length});
      }
      case '/-/log-newest': {
        const {newest, records, first} = topic();
        const after = query('after') ?? '';
        const items = [...newest]
          .filter(([key]) => key > after)
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(([key, {value, offset}]) => {
            return {key, value: value.toString('base64'), offset};
          });
        return send(200, {
          items: items.slice(0, 500),
          has_more: items.length > 500,
          end_offset: first + records.length,
        });
      }
      case '/-/log-read':
        return this.read(topic(), url, response, send, door);
      case '/-/log-join':
        return send(200, this.join(JSON.parse(body.toString())));
      case '/-/log-leave':
        this.leave(JSON.parse(body.toString()));
        return send(200, {});
      case '/-/log-owners': {
        const group = this.group(query('group'));
        this.expire(group);
        const rows = group.owner ? [[group.topic, 0, group.owner, 0]] : [];
        return send(200, {owners: rows});
      }
      default:
        return send(404, {});
    }
  }

  async read(topic, url, response, send, door) {
    const from = Number(url.searchParams.get('from'));
    const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
    const end = () => topic.first + topic.records.length;
    if (from === end() && waitMs > 0) {
      await new Promise(done => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiters.delete(wake);
          done();
        };
        const timer = setTimeout(wake, waitMs);
        topic.waiters.add(wake);
      });
    }
    if (door.isClosed) return send(503, {});
    if (from < topic.first || from > end()) {
      return send(410, {first_offset: topic.first});
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(end()), 0);
    head.writeBigUInt64BE(BigInt(topic.first), 8);
    const parts = [head];
    const maxBytes = 1024 * Number(url.searchParams.get('max_fetch') ?? 1024);
    let bytes = 0;
    for (const record of topic.records.slice(from - topic.first)) {
      bytes += record.length + 4;
      if (parts.length > 1 && bytes > maxBytes) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    response.writeHead(200, {'content-type': 'application/octet-stream'});
    response.end(Buffer.concat(parts));
  }

  group(name) {
    let group = this.groups.get(name);
    if (!group) {
      group = {generation: 0, members: new Map(), owner: undefined, topic: ''};
      this.groups.set(name, group);
    }
    return group;
  }

  join({group: name, member, topics, ttl_ms: ttlMs}) {
    const group = this.group(name);
    group.topic = topics[0];
    this.expire(group);
    if (!group.members.has(member)) group.generation += 1;
    group.members.set(member, {atMs: performance.now(), ttlMs});
    group.owner ??= member;
    return {
      generation: group.generation,
      parts: group.owner === member ? [[topics[0], 0, 0]] : [],
    };
  }

  leave({group: name, member}) {
    this.remove(this.group(name), member);
  }

  expire(group) {
    const nowMs = performance.now();
    for (const [member, {atMs, ttlMs}] of group.members) {
      if (nowMs - atMs > ttlMs) this.remove(group, member);
    }
  }

  remove(group, member) {
    if (!group.members.delete(member)) return;
    group.generation += 1;
    if (group.owner === member) group.owner = [...group.members.keys()][0];
  }
}

/** The settings of a process, with the figures of a small installation. */
export function settingsOf({
  name,
  ip,
  ports,
  store,
  bootstrap,
  bounds = {},
  limits = {},
}) {
  const [frontend, readiness, internal] = ports;
  return {
    node_name: name,
    role: 'entry',
    machine_class: 'frontend',
    serves: ['frontend'],
    ip,
    zone: 'hall-a',
    region: 'central',
    zones: {'hall-a': 'central'},
    listen: {frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}`},
    internal_port_range: [internal, internal],
    seeds: [],
    bootstrap,
    limits: {
      cpu_share: 0.513,
      cores: 1,
      memory_mb: 350,
      max_fds: 4100,
      link_mbps: 1000,
      disk_mb: 0,
      ...limits,
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
    bounds: {
      reuse_after_s: 2,
      contact_ms: 3000,
      drain_ms: 2000,
      grace_s: 8,
      config_apply_ms: 2000,
      retry_budget_ratio: 0.2,
      budget_window_s: 10,
      retry_budget_slack: 56,
      fencing_enabled: true,
      lease_ms: 3000,
      thaw_ms: 300,
      ceiling_window_s: 5,
      ceiling_factor: 1.1,
      ...bounds,
    },
    platform: {
      address: store,
      form: 'log',
      writes_per_s: 400,
      reads_per_s: 2000,
      parts: 8,
      append_ms: 4,
      ttl_min_ms: 1000,
    },
  };
}

/** Starts processes of the system with the command of the deploy file. */
export class Entries {
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  list = [];

  /** @param ip a loopback address of its own. */
  async start({name, ip, store, bootstrap = true, bounds, limits, ports}) {
    const entryPorts = ports ?? (await freePorts(ip, 3));
    const path = join(this.folder, `${name}.json`);
    const settings = settingsOf({
      name,
      ip,
      ports: entryPorts,
      store,
      bootstrap,
      bounds,
      limits,
    });
    writeFileSync(path, JSON.stringify(settings));
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(
      'node',
      ['--max-old-space-size=160', 'target/main.cjs', 'entry'],
      {
        cwd: ROOT,
        env: {PATH, HOME, LANG, BANYANFOLD_BOOT: path},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const entry = {
      name,
      ip,
      ports: entryPorts,
      child,
      log: [],
      exit: undefined,
    };
    for (const stream of [child.stdout, child.stderr]) {
      let rest = '';
      stream.on('data', chunk => {
        const lines = (rest + chunk).split('\n');
        rest = lines.pop();
        entry.log.push(...lines);
      });
    }
    child.once('exit', (code, signal) => {
      entry.exit = code ?? signal;
    });
    this.list.push(entry);
    return entry;
  }

  /** Resolves once the readiness address answers with 200. */
  async untilReady(entry, maxMs = 15_000) {
    const endMs = performance.now() + maxMs;
    while (performance.now() < endMs) {
      const answer = await get(entry.ip, entry.ports[1], '/-/readiness');
      if (answer === 200) return;
      await sleep(100);
    }
    throw new Error(`${entry.name} isn't ready`);
  }

  stopAll() {
    for (const {child} of this.list) child.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function get(host, port, path) {
  return new Promise(done => {
    const request = http.get({host, port, path, agent: false}, response => {
      response.resume();
      done(response.statusCode);
    });
    request.on('error', () => done(undefined));
  });
}

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the
 * case couldn't run.
 */
export async function runCase(folder, run) {
  const record = createRecord(folder);
  const entries = new Entries();
  const store = new Store();
  const closers = [];
  const stop = () => {
    entries.stopAll();
    store.close();
    for (const close of closers) close();
  };
  const watchdog = setTimeout(() => {
    record('the case took too long');
    stop();
    process.exit(2);
  }, 115_000);
  let code = 2;
  try {
    const door = await store.open();
    store.address = door.address;
    record(`trouble: ${TROUBLE}`);
    code = (await run({record, entries, store, closers})) ? 1 : 0;
    record(code === 1 ? 'RESULT the rule was broken' : 'RESULT the rule held');
  } catch (thrown) {
    record(`the case could not run: ${thrown?.stack ?? thrown}`);
  }
  clearTimeout(watchdog);
  stop();
  process.exit(code);
}
