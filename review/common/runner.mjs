// A runner of a plain service: slots, a short queue, `Server-Load`, and the
// answers that PROTOCOL.md names. What a request met here goes into `seen`.
import http from 'node:http';

const HEARTBEAT_MS = 1_200;

export class Runner {
  /** What happened here, by request id. */
  seen = new Map();
  /** Called before an answer is sent; see the cases that use it. */
  onAnswered = () => {};
  /** Called when a request arrives on a channel. */
  onArrival = () => {};
  running = 0;
  waiting = [];
  sequence = 0;

  constructor({id, service, zone, slots, queue, workMs, store}) {
    Object.assign(this, {id, service, zone, slots, queue, workMs, store});
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
  }

  async listen(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    const {address, port} = this.server.address();
    this.address = `${address}:${port}`;
    this.bornMs = Date.now();
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  beat() {
    this.sequence += 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      born: this.bornMs,
      sequence: this.sequence,
    });
  }

  async handle(request, response) {
    const arrivedMs = performance.now();
    for await (const chunk of request) void chunk;
    const id = request.headers['request-id'];
    if (request.headers['expect-instance'] !== this.id) {
      response.writeHead(421, {'instance-id': this.id}).end();
      return;
    }
    if (id === undefined) {
      response.writeHead(400, {'not-executed': '1'}).end();
      return;
    }
    const deadlineMs = Number(request.headers['deadline-ms']);
    const entry = {id, arrivedMs, runner: this.id, socket: request.socket};
    const all = this.seen.get(id) ?? [];
    this.seen.set(id, [...all, entry]);
    this.note(entry, 'reached');
    this.onArrival(entry);
    response.once('close', () => {
      if (!response.writableFinished) this.drop(entry);
    });
    const job = {entry, response, untilMs: arrivedMs + deadlineMs};
    if (this.running < this.slots) return this.start(job);
    if (this.waiting.length < this.queue) {
      this.waiting.push(job);
      return;
    }
    this.reject(job);
  }

  reject({entry, response}) {
    if (response.destroyed) return;
    entry.rejectedMs = performance.now();
    this.note(entry, 'answers 503, not run');
    this.send(entry, response, 503, {'not-executed': '1'}, '');
  }

  start(job) {
    const {entry, response, untilMs} = job;
    if (entry.droppedMs !== undefined) return this.next();
    if (performance.now() > untilMs) {
      this.reject(job);
      return this.next();
    }
    this.running += 1;
    entry.ranMs = performance.now();
    this.note(entry, 'runs');
    const workMs = this.workMs * (0.65 + 0.7 * Math.random());
    setTimeout(() => {
      this.running -= 1;
      if (entry.droppedMs === undefined) {
        entry.doneMs = performance.now();
        this.note(entry, 'answers 200');
        const stamp = `${this.id}.${entry.id}`;
        const body = `${stamp} `.padEnd(800, 'x');
        this.send(entry, response, 200, {'server-stamp': stamp}, body);
      }
      this.next();
    }, workMs);
  }

  next() {
    while (this.running < this.slots && this.waiting.length > 0) {
      const before = this.running;
      this.start(this.waiting.shift());
      if (this.running === before) continue;
    }
  }

  send(entry, response, status, headers, body) {
    const all = {
      'request-id': entry.id,
      'server-load': `${this.running},${this.waiting.length},${this.slots}`,
      ...headers,
      'content-length': String(Buffer.byteLength(body)),
    };
    entry.answer = {status, headers: all, body};
    response.writeHead(status, all);
    response.end(body, () => this.onAnswered(entry));
  }

  drop(entry) {
    entry.droppedMs = performance.now();
    this.note(entry, 'finds its channel closed');
  }

  note(entry, what) {
    entry.events ??= [];
    entry.events.push({atMs: performance.now(), what: `${this.id} ${what}`});
  }
}
