// The platform's store, as far as an entry calls it: keyed topics and groups.
// It answers each call after 4 ms, as the sheets say, and loses nothing.
import http from 'node:http';

const ANSWER_MS = 4;
const OFFSETS_BYTES = 16;

export class Store {
  /** While it is down, it answers 503 and does nothing; records are lost. */
  isDown = false;
  topics = new Map();
  groups = new Map();
  server = http.createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  listen(host) {
    return new Promise(resolve => {
      this.server.listen(0, host, () => {
        const {address, port} = this.server.address();
        resolve(`${address}:${port}`);
      });
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a record; without a value, the key is dropped. */
  put(topicName, key, value) {
    if (this.isDown) return;
    const bytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    const topic = this.topic(topicName);
    topic.records.push({key, value: bytes});
    for (const wake of [...topic.waiters]) wake();
  }

  /** Address of the process that owns the first partition of a group. */
  get ownerAddress() {
    for (const group of this.groups.values()) {
      this.expire(group);
      if (group.owner !== undefined) return group.owner.split('#')[0];
    }
    return undefined;
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = {records: [], waiters: new Set()};
      this.topics.set(name, topic);
    }
    return topic;
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const query = url.searchParams;
    response.setHeader('store-era', '1');
    if (this.isDown) {
      response.writeHead(503).end('{}');
      return;
    }
    const calls = {
      '/-/log-append': () => this.append(query, body),
      '/-/log-newest': () => this.newest(query),
      '/-/log-read': () => this.read(query),
      '/-/log-join': () => this.join(JSON.parse(body)),
      '/-/log-leave': () => this.leave(JSON.parse(body)),
      '/-/log-owners': () => this.owners(query),
    };
    const call = calls[url.pathname];
    const answer = call ? await call() : {};
    await sleep(ANSWER_MS);
    response.writeHead(call ? 200 : 404);
    response.end(Buffer.isBuffer(answer) ? answer : JSON.stringify(answer));
  }

  append(query, body) {
    const topic = this.topic(query.get('topic'));
    const offset = topic.records.length;
    for (let at = 0; at < body.length;) {
      const end = at + 4 + body.readUInt32BE(at);
      const keyEnd = at + 5 + body.readUInt8(at + 4);
      const key = body.toString('utf8', at + 5, keyEnd);
      topic.records.push({key, value: body.subarray(keyEnd, end)});
      at = end;
    }
    for (const wake of [...topic.waiters]) wake();
    return {offset, end_offset: topic.records.length};
  }

  newest(query) {
    const {records} = this.topic(query.get('topic'));
    const newest = new Map();
    records.forEach(({key, value}, offset) => newest.set(key, {value, offset}));
    const items = [...newest]
      .filter(([, {value}]) => value.length > 0)
      .map(([key, {value, offset}]) => {
        return {key, value: value.toString('base64'), offset};
      });
    return {items, has_more: false, end_offset: records.length};
  }

  async read(query) {
    const topic = this.topic(query.get('topic'));
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from >= topic.records.length) await untilRecord(topic, waitMs);
    const head = Buffer.alloc(OFFSETS_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const records = topic.records.slice(from, from + 1024).map(encode);
    return Buffer.concat([head, ...records]);
  }

  join({group: name, member, ttl_ms: ttlMs, topics}) {
    const group = this.group(name);
    this.expire(group);
    if (!group.members.has(member)) group.generation += 1;
    group.members.set(member, {untilMs: performance.now() + ttlMs});
    group.owner ??= member;
    const parts = group.owner === member ? [[topics[0], 0, 0]] : [];
    group.topic = topics[0];
    return {generation: group.generation, ttl_ms: ttlMs, parts};
  }

  leave({group: name, member}) {
    this.remove(this.group(name), member);
    return {};
  }

  owners(query) {
    const group = this.group(query.get('group'));
    this.expire(group);
    const {owner, topic} = group;
    return {owners: owner === undefined ? [] : [[topic, 0, owner, 0]]};
  }

  group(name) {
    let group = this.groups.get(name);
    if (!group) {
      group = {generation: 0, members: new Map(), owner: undefined};
      this.groups.set(name, group);
    }
    return group;
  }

  expire(group) {
    for (const [member, {untilMs}] of group.members) {
      if (performance.now() > untilMs) this.remove(group, member);
    }
  }

  remove(group, member) {
    if (!group.members.delete(member)) return;
    group.generation += 1;
    if (group.owner !== member) return;
    group.owner = group.members.keys().next().value;
  }
}

function encode({key, value}) {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([head, keyBytes, value]);
}

function untilRecord(topic, waitMs) {
  return new Promise(resolve => {
    const wake = () => {
      clearTimeout(timer);
      topic.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    topic.waiters.add(wake);
  });
}

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
