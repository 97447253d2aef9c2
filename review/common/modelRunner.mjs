// A model runner as PROTOCOL.md describes it: streams, orders and reports. It
// can start again under its id, with another version of its software.
import http from 'node:http';

const HEARTBEAT_MS = 1_200;
const PREFILL_MS = 60;

export class ModelRunner {
  /** What happened here, by request id. */
  seen = new Map();
  orders = [];
  sockets = new Set();
  models = new Set();
  onDisk = new Set();

  constructor(options) {
    Object.assign(this, options);
    for (const name of this.startModels) {
      this.models.add(name);
      this.onDisk.add(name);
    }
  }

  async start(host) {
    this.host = host;
    this.bornMs = Date.now();
    this.heartbeats = 0;
    this.sequence = 0;
    this.highestToken = 0;
    this.loading = undefined;
    this.active = 0;
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise(resolve =>
      this.server.listen(this.port ?? 0, host, resolve),
    );
    this.port = this.server.address().port;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Ends as a process does that is killed: its channels close. */
  stop() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
    this.sockets.clear();
  }

  /** Starts again under its id: empty, but for the copies on its disk. */
  async startAgain(version) {
    this.version = version;
    this.models.clear();
    await this.start(this.host);
  }

  beat() {
    this.heartbeats += 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      models: this.modelList(),
      phase: 'both',
      born: this.bornMs,
      sequence: this.heartbeats,
    });
  }

  modelList() {
    return [...this.models].map(name => ({name, version: 1, adapters: []}));
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'instance-id': this.id}).end();
      return;
    }
    if (request.url === '/-/report') return this.report(response);
    if (request.url === '/-/order') {
      return this.order(JSON.parse(Buffer.concat(chunks)), response);
    }
    this.serve(request, response);
  }

  report(response) {
    const onDisk = [...this.onDisk];
    sendJson(response, 200, {
      phase: 'both',
      born: this.bornMs,
      models: this.modelList(),
      busy: this.loading !== undefined,
      sequence: this.sequence,
      queued: 0,
      active: this.active,
      kv_used: 0,
      kv_total: 268_919,
      handles: 0,
      available: {in_memory: [...this.models], on_disk: onDisk},
    });
  }

  order(order, response) {
    const {operation, model, holder, fencing_token: token, expect} = order;
    if (holder === undefined || token === undefined) {
      return sendJson(response, 400, {});
    }
    if (token < this.highestToken) return sendJson(response, 412, {});
    this.highestToken = token;
    const isOtherNumber = expect !== undefined && expect !== this.sequence;
    if (this.loading !== undefined || isOtherNumber) {
      return sendJson(response, 409, {});
    }
    const isHeld = this.models.has(model);
    if (isHeld === (operation === 'load')) return sendJson(response, 200, {});
    this.sequence += 1;
    this.log(`${this.id} (${this.version}): order ${operation} ${model}`);
    if (operation === 'unload') this.models.delete(model);
    else this.load(model);
    sendJson(response, 202, {});
  }

  load(model) {
    const {bornMs} = this;
    const s = this.onDisk.has(model) ? this.diskLoadS : this.loadS;
    this.loading = model;
    setTimeout(() => {
      if (this.bornMs !== bornMs) return;
      this.loading = undefined;
      this.models.add(model);
      this.onDisk.add(model);
      this.log(`${this.id} (${this.version}): holds ${model}`);
    }, s * 1000);
  }

  serve({headers}, response) {
    const id = headers['request-id'];
    const model = headers['model']?.split('/')[0];
    const entry = {id, runner: this.id, events: []};
    this.seen.set(id, [...(this.seen.get(id) ?? []), entry]);
    const from = Number(headers['last-event-id'] ?? 0);
    this.note(entry, from > 0 ? `is asked to go on after ${from}` : 'reached');
    const answer = {'request-id': id, 'instance-id': this.id};
    if (!this.models.has(model)) {
      this.note(entry, `answers 421, ${model} is not there`);
      response.writeHead(421, {...answer, 'not-executed': '1'}).end();
      return;
    }
    void this.stream(entry, from, headers, response, answer);
  }

  async stream(entry, from, headers, response, answer) {
    const {bornMs} = this;
    const untilMs = performance.now() + Number(headers['deadline-ms']);
    const last = Number(headers['token-count'].split(',')[1]) / 4;
    this.active += 1;
    await sleep(PREFILL_MS);
    if (this.bornMs === bornMs && !response.destroyed) {
      entry.ranMs = performance.now();
      response.writeHead(200, {
        ...answer,
        'server-stamp': `${this.id}.${entry.id}`,
        'weight-versions': '1',
        'content-type': 'text/event-stream',
      });
    }
    for (let id = from + 1; id <= last; id++) {
      const isOver = performance.now() > untilMs;
      if (this.bornMs !== bornMs || response.destroyed || isOver) break;
      response.write(`id: ${id}\ndata: piece ${id} of ${this.version}\n\n`);
      entry.lastEvent = id;
      await sleep(this.eventMs);
    }
    if (this.bornMs !== bornMs) return;
    this.active -= 1;
    this.note(entry, `wrote up to event ${entry.lastEvent ?? 0}`);
    if (entry.lastEvent === last) response.end();
    else response.destroy();
  }

  note(entry, what) {
    const text = `${this.id} (${this.version}) ${what}`;
    entry.events.push({atMs: performance.now(), what: text});
  }
}

function sendJson(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
