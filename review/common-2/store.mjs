/** Stand-in of the platform's metadata store: a log with keyed topics, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';

const LENGTH_BYTES = 4;

/** In-memory log service on one loopback address. */
export class StoreStandIn {
  constructor() {
    this.topics = new Map();
    this.writers = new Map();
    this.waiters = new Set();
    this.server = createServer((request, response) => this.receive(request, response));
  }

  async listen(ip, port) {
    await new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Appends a record with a key and a JSON value, as the operator and the replicas do; no value drops the key. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.append(topic, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes])]);
  }

  getRecords(topic) {
    const found = this.topics.get(topic);
    if (found) return found;
    const records = [];
    this.topics.set(topic, records);
    return records;
  }

  append(topic, records) {
    this.getRecords(topic).push(...records);
    for (const waiter of [...this.waiters]) if (waiter.topic === topic) waiter.wake();
  }

  getNewest(topic) {
    const newest = new Map();
    this.getRecords(topic).forEach((record, offset) => {
      const keyEnd = 1 + record[0];
      const key = record.toString('utf8', 1, keyEnd);
      const value = record.subarray(keyEnd);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, {key, value, offset});
    });
    return newest;
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      this.serve(request, url.pathname, url.searchParams, Buffer.concat(chunks), response);
    });
  }

  serve(request, path, query, body, response) {
    const topic = query.get('topic');
    if (path === '/v1/log-append') return this.serveAppend(topic, query, body, response);
    if (path === '/v1/log-read') return this.serveRead(topic, query, response);
    if (path === '/v1/log-newest') return this.serveNewest(topic, response);
    sendJson(response, 404, {});
  }

  serveAppend(topic, query, body, response) {
    const records = decodeRecords(body);
    const end = this.getRecords(topic).length;
    const at = query.get('at');
    if (at !== null && Number(at) !== end) return sendJson(response, 412, {end});
    const producer = query.get('producer');
    if (producer !== null) {
      const key = `${topic}/${producer}`;
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('call_seq'));
      const writer = this.writers.get(key) ?? {epoch: -1, sequence: undefined, answers: []};
      if (epoch < writer.epoch) return sendJson(response, 409, {reason: 'fenced'});
      if (epoch > writer.epoch) Object.assign(writer, {epoch, sequence: undefined, answers: []});
      this.writers.set(key, writer);
      if (records.length > 0) {
        const repeated = writer.answers.find(answer => answer.sequence === sequence);
        if (repeated) return sendJson(response, 200, repeated.result);
        if (writer.sequence !== undefined && sequence !== writer.sequence + 1) {
          return sendJson(response, 409, {reason: 'seq', call_seq: writer.sequence + 1});
        }
        writer.sequence = sequence;
        const result = {offset: end, end: end + records.length};
        writer.answers = [...writer.answers, {sequence, result}].slice(-5);
      }
    }
    this.append(topic, records);
    sendJson(response, 200, {offset: end, end: end + records.length});
  }

  serveRead(topic, query, response) {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    const answer = () => {
      const records = this.getRecords(topic);
      const header = Buffer.alloc(16);
      header.writeBigUInt64BE(BigInt(records.length), 0);
      const parts = records.slice(from).flatMap(record => {
        const length = Buffer.alloc(LENGTH_BYTES);
        length.writeUInt32BE(record.length);
        return [length, record];
      });
      const body = Buffer.concat([header, ...parts]);
      response.writeHead(200, {'content-length': String(body.length)});
      response.end(body);
    };
    if (waitMs <= 0 || this.getRecords(topic).length > from) return answer();
    const waiter = {topic, wake: undefined};
    const timer = setTimeout(() => waiter.wake(), waitMs);
    waiter.wake = () => {
      clearTimeout(timer);
      this.waiters.delete(waiter);
      answer();
    };
    this.waiters.add(waiter);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiters.delete(waiter);
    });
  }

  serveNewest(topic, response) {
    const items = [...this.getNewest(topic).values()]
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map(({key, value, offset}) => ({key, value: value.toString('base64'), offset}));
    sendJson(response, 200, {items, has_more: false, end: this.getRecords(topic).length});
  }
}

function decodeRecords(body) {
  const records = [];
  for (let position = 0; position + LENGTH_BYTES <= body.length;) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    records.push(Buffer.from(body.subarray(start, end)));
    position = end;
  }
  return records;
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  response.end(body);
}
