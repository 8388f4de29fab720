/**
 * Stand-in of the platform's store and of its calls for singleton duties, as PROTOCOL.md describes them: a linearizable
 * log of keyed topics in memory, and `POST /usage` and `POST /scale` with fencing tokens.
 */
import {createServer} from 'node:http';

const HEADER_BYTES = 16;

function keyed(key, value) {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value)]);
}

function split(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length; ) {
    const end = at + 4 + body.readUInt32BE(at);
    records.push(body.subarray(at + 4, end));
    at = end;
  }
  return records;
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** The store. The operator and the replicas write with `put`; the system writes over HTTP. */
export class Store {
  topics = new Map();
  writers = new Map();
  waiters = new Set();
  calls = [];
  server = createServer((request, response) => {
    this.handle(request, response).catch(error => response.destroy(error));
  });

  async start(ip) {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
    return this.address;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  getLog(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }

  put(topic, key, value) {
    this.push(topic, [keyed(key, value === undefined ? '' : JSON.stringify(value))]);
  }

  push(topic, records) {
    this.getLog(topic).push(...records);
    for (const wake of [...this.waiters]) wake();
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    const topic = url.searchParams.get('topic') ?? '';
    const number = name => Number(url.searchParams.get(name) ?? 0);
    if (request.method === 'POST' && url.pathname === '/v1/log-append') {
      if (topic === 'keyed.op' || topic === 'keyed.servers') return send(response, 403, {});
      const [status, answer] = this.append(topic, url.searchParams, body);
      return send(response, status, answer);
    }
    if (url.pathname === '/v1/log-newest') return send(response, 200, this.newest(topic));
    if (url.pathname === '/v1/log-read') {
      const from = number('from');
      await this.waitFor(topic, from, Math.min(30_000, number('wait_ms')), response);
      const log = this.getLog(topic);
      const head = Buffer.alloc(HEADER_BYTES);
      head.writeBigUInt64BE(BigInt(log.length));
      const parts = log.slice(from).flatMap(record => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        return [length, record];
      });
      const bytes = Buffer.concat([head, ...parts]);
      response.writeHead(200, {'content-length': bytes.length});
      return response.end(bytes);
    }
    return send(response, 404, {});
  }

  append(topic, query, body) {
    const log = this.getLog(topic);
    if (query.has('at') && Number(query.get('at')) !== log.length) return [412, {end: log.length}];
    const records = split(body);
    const answer = {offset: log.length, end: log.length + records.length};
    if (query.has('producer')) {
      const name = `${topic} ${query.get('producer')}`;
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('call_seq'));
      const writer = this.writers.get(name);
      if (writer && epoch < writer.epoch) return [409, {reason: 'fenced'}];
      if (records.length === 0) {
        this.writers.set(name, {epoch, next: undefined, answers: new Map()});
        return [200, answer];
      }
      const known = writer?.epoch === epoch ? writer : {epoch, next: undefined, answers: new Map()};
      if (known.answers.has(sequence)) return [200, known.answers.get(sequence)];
      if (known.next !== undefined && sequence !== known.next) {
        return [409, {reason: 'seq', expected: known.next}];
      }
      known.answers.set(sequence, answer);
      if (known.answers.size > 5) known.answers.delete([...known.answers.keys()][0]);
      known.next = sequence + 1;
      this.writers.set(name, known);
    }
    this.push(topic, records);
    return [200, answer];
  }

  newest(topic) {
    const items = new Map();
    this.getLog(topic).forEach((record, offset) => {
      const end = 1 + record[0];
      const key = record.toString('utf8', 1, end);
      items.delete(key);
      if (end < record.length) {
        items.set(key, {key, value: record.subarray(end).toString('base64'), offset});
      }
    });
    return {items: [...items.values()], has_more: false, end: this.getLog(topic).length};
  }

  waitFor(topic, from, waitMs, response) {
    if (this.getLog(topic).length > from || waitMs === 0) return Promise.resolve();
    return new Promise(resolve => {
      const wake = () => {
        if (this.getLog(topic).length > from) done();
      };
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.waiters.add(wake);
      response.once('close', done);
    });
  }
}

/** The platform's calls for duties; each call is kept in `calls` with its status. */
export class Cloud {
  calls = [];
  highest = new Map();
  server = createServer((request, response) => {
    this.handle(request, response).catch(error => response.destroy(error));
  });

  /** @param decide Returns a status other than 200 for an order that isn't carried out, or undefined. */
  constructor(decide = () => undefined) {
    this.decide = decide;
  }

  async start(ip) {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
    return this.address;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async handle(request, response) {
    const body = JSON.parse((await readBody(request)).toString());
    const token = Number(request.headers['x-buckthorngw-fence-token']);
    const holder = request.headers['x-buckthorngw-duty-holder'];
    const duty = request.url.slice(1);
    const subject = duty === 'usage' ? 'usage' : `scale ${body.service} ${body.zone}`;
    const isStale = token < (this.highest.get(subject) ?? 0);
    const status = isStale ? 409 : (this.decide(duty, body) ?? 200);
    if (!isStale) this.highest.set(subject, token);
    this.calls.push({atMs: Date.now(), duty, subject, holder, token, status, isStale, body});
    send(response, status, {});
  }
}

function send(response, status, body) {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {'content-type': 'application/json', 'content-length': bytes.length});
  response.end(bytes);
}
