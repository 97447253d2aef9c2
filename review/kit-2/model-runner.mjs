// A stand-in of a model runner, and a client of its streams.
import http from 'node:http';
import {sleep} from './kit.mjs';

const HEARTBEAT_MS = 1_200;
/** Values of reports to others are as of some hundred ms ago. */
const REPORT_LAG_MS = 200;

/**
 * A model runner: it registers in the store, serves streams, and carries out
 * orders as PROTOCOL.md says. After a crash it starts again at the same address
 * under the same instance id, empty, with a new time of birth and with its
 * counts and fences cleared; its disk stays.
 */
export class ModelRunner {
  models = new Map();
  disk = new Set();
  sequence = 0;
  fence = 0;
  isBusy = false;
  beat = 0;
  life = 0;
  overfilled = [];
  past = [];
  isDown = true;
  version = '1';

  constructor(options) {
    this.options = options;
    for (const [name, adapters] of Object.entries(options.models ?? {})) {
      this.models.set(name, new Set(adapters));
    }
    for (const name of this.models.keys()) this.disk.add(name);
  }

  async start() {
    this.born = Date.now();
    this.life += 1;
    this.isDown = false;
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    const port = this.address ? Number(this.address.split(':')[1]) : 0;
    await new Promise((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(port, this.options.ip, done);
    });
    this.address = `${this.options.ip}:${this.server.address().port}`;
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
    this.lagTimer = setInterval(() => this.note(), 50);
    this.past = [];
    this.note();
  }

  close() {
    clearInterval(this.timer);
    clearInterval(this.lagTimer);
    this.server.close();
    this.server.closeAllConnections();
  }

  register() {
    this.beat += 1;
    this.options.store.put('keyed.servers', this.options.id, {
      service: this.options.service,
      address: this.address,
      zone: 'hall-a',
      version: this.version,
      slots: 64,
      state: 'ready',
      cold_remaining_ms: 0,
      models: this.modelList(),
      born: this.born,
      sequence: this.beat,
    });
  }

  /** Ends the process; it starts again after a while under its id. */
  crash(reason) {
    if (this.isDown) return;
    this.options.record(`runner crashes: ${reason}`);
    this.isDown = true;
    this.close();
    this.models = new Map();
    this.sequence = 0;
    this.fence = 0;
    this.isBusy = false;
    this.beat = 0;
    setTimeout(() => {
      this.start().then(
        () =>
          this.options.record(`runner is back under its id, born ${this.born}`),
        error => this.options.record(`runner can't start: ${error}`),
      );
    }, this.options.downMs);
  }

  /**
   * The next load of an adapter gets no answer and is carried out after a time.
   * Resolves when it has arrived.
   */
  holdNextLoad(lateMs) {
    return new Promise(done => {
      this.held = {lateMs, done};
    });
  }

  describe() {
    const models = [...this.models].map(
      ([name, adapters]) => `${name}(${[...adapters].join(' ')})`,
    );
    return `[${models.join(', ')}] after ${this.sequence} orders`;
  }

  modelList() {
    return [...this.models].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));
  }

  note() {
    const state = {
      phase: 'both',
      born: this.born,
      models: this.modelList(),
      busy: this.isBusy,
      sequence: this.sequence,
      queued: 0,
      active: 0,
      kv_used: 0,
      kv_total: 268_919,
      handles: 0,
      pending: [],
      available: {in_memory: [], on_disk: [...this.disk]},
    };
    this.past.push({atMs: performance.now(), state});
    const oldestMs = performance.now() - REPORT_LAG_MS;
    while (this.past.length > 1 && this.past[1].atMs < oldestMs) {
      this.past.shift();
    }
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    const {id} = this.options;
    const expected = request.headers['expect-instance'];
    const send = (status, value, headers = {}) => {
      response.writeHead(status, {
        'content-type': 'application/json',
        ...headers,
      });
      response.end(JSON.stringify(value));
    };
    if (request.url === '/-/report') return send(200, this.past[0].state);
    if (expected !== undefined && expected !== id) {
      return send(421, {}, {'instance-id': id, 'not-executed': '1'});
    }
    if (request.url === '/-/order') {
      const order = JSON.parse(body);
      if (this.held && order.operation === 'load' && order.adapter) {
        const {lateMs, done} = this.held;
        this.held = undefined;
        this.options.record(`order held back: ${body}`);
        // It is for this instance id, whichever process has it by then.
        setTimeout(() => {
          const status = this.isDown ? 'none' : this.carryOut(order);
          this.options.record(`order carried out late: ${body} -> ${status}`);
        }, lateMs);
        done();
        return undefined;
      }
      const status = this.carryOut(order);
      this.options.record(`order ${body} -> ${status}`);
      return send(status, {});
    }
    return this.serve(request, response, send);
  }

  /** Returns the status with which the order is answered. */
  carryOut({operation, model, adapter, expect, holder, fencing_token: token}) {
    if (holder === undefined || token === undefined) return 400;
    if (token < this.fence) return 412;
    this.fence = token;
    const adapters = this.models.get(model);
    const isLoad = operation === 'load';
    const isThere =
      adapter === undefined ? adapters !== undefined : adapters?.has(adapter);
    if (isThere === true && isLoad) return 200;
    if (!isThere && !isLoad) return 200;
    if (this.isBusy) return 409;
    if (expect !== undefined && expect !== this.sequence) return 409;
    if (adapter !== undefined) {
      return this.carryOutAdapter(isLoad, model, adapter);
    }
    this.sequence += 1;
    if (!isLoad) {
      this.models.delete(model);
      return 202;
    }
    const {modelMb, weightsMb, loadMs} = this.options;
    const mb = [...this.models.keys(), model].reduce(
      (sum, name) => sum + modelMb[name],
      0,
    );
    if (mb > weightsMb) {
      this.overfill(`load of ${model} makes ${mb} of ${weightsMb} MB`);
      return 202;
    }
    this.isBusy = true;
    const {life} = this;
    const tookMs = this.disk.has(model) ? loadMs.disk : loadMs.store;
    setTimeout(() => {
      if (this.life !== life || this.isDown) return;
      this.isBusy = false;
      this.disk.add(model);
      this.models.set(model, new Set());
    }, tookMs);
    return 202;
  }

  carryOutAdapter(isLoad, model, adapter) {
    const adapters = this.models.get(model);
    if (!adapters) return 400;
    this.sequence += 1;
    if (!isLoad) {
      adapters.delete(adapter);
      return 200;
    }
    const held = [...this.models.values()].reduce(
      (sum, names) => sum + names.size,
      0,
    );
    const {adapterSlots} = this.options;
    if (held + 1 > adapterSlots) {
      this.overfill(
        `load of adapter ${adapter} with ${held} of ${adapterSlots} places taken`,
      );
      return 202;
    }
    adapters.add(adapter);
    return 202;
  }

  /** A runner that is ordered to load more than it holds crashes. */
  overfill(what) {
    this.overfilled.push(`${this.options.id}: ${what}`);
    setImmediate(() => this.crash(what));
  }

  async serve(request, response, send) {
    const id = request.headers['request-id'];
    if (id === undefined) return send(400, {}, {'not-executed': '1'});
    const own = {'request-id': id};
    const [name, adapter] = String(request.headers['model']).split('/');
    const adapters = this.models.get(name);
    if (!adapters || (adapter !== undefined && !adapters.has(adapter))) {
      return send(421, {}, {...own, 'not-executed': '1'});
    }
    response.writeHead(200, {
      ...own,
      'server-stamp': `s.${id}`,
      'content-type': 'text/event-stream',
    });
    const {events = 10, gapMs = 60} = this.options;
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= events; event++) {
      await sleep(gapMs);
      if (response.destroyed) return undefined;
      response.write(
        `id: ${event}\ndata: ${id} ${event} version ${this.version}\n\n`,
      );
    }
    response.end();
    return undefined;
  }
}

/** Requests a stream; resolves to how it ended. */
export function streamFrom(
  entry,
  {host, path, headers, events = 10, onEnd = () => {}},
) {
  return new Promise(resolve => {
    let text = '';
    let status;
    const done = result => {
      onEnd(text, status);
      resolve(result);
    };
    const request = http.request(
      {
        host: entry.ip,
        port: entry.ports[0],
        path,
        method: 'POST',
        agent: false,
        headers: {Host: host, ...headers},
      },
      response => {
        status = response.statusCode;
        response.on('data', chunk => {
          text += chunk;
        });
        response.on('error', () => done('cut off'));
        response.on('end', () => {
          if (response.statusCode !== 200) {
            done(`${response.statusCode} ${text}`);
          } else if (text.includes(`id: ${events}\n`)) done('complete');
          else done('ended early');
        });
      },
    );
    request.on('error', error => done(`no answer: ${error.code}`));
    request.end('prompt');
  });
}
