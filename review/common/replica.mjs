/** Stand-in of a replica: plain answers and event streams, with the checks that PROTOCOL.md asks of a replica. */
import {createServer} from 'node:http';
import {randomBytes} from 'node:crypto';

const HEARTBEAT_MS = 1200;

/** A replica. `work(request, run)` ends the answer; the default answers at once with a short body. */
export class Replica {
  runs = [];
  channels = new Set();

  constructor({id, service, zone, store, work, slots = 128, version = '1', spot = false}) {
    Object.assign(this, {id, service, zone, store, slots, version, spot, born: Date.now()});
    this.work = work ?? ((request, run) => run.answer(200, 'ok'));
    this.server = createServer({keepAliveTimeout: 20_000}, (request, response) => this.handle(request, response));
    this.server.on('connection', socket => {
      this.channels.add(socket);
      socket.once('close', () => this.channels.delete(socket));
    });
  }

  async start(ip) {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
    this.register('ready');
    return this;
  }

  /** Writes the entry; a replica of the platform does so every heartbeat. */
  register(state) {
    this.sequence = (this.sequence ?? 0) + 1;
    const {service, address, zone, version, slots, born, spot} = this;
    this.store.put('keyed.servers', this.id, {
      service, addr: address, zone, version, slots, state, cold_left_ms: 0, call_seq: this.sequence, born,
      ...(spot ? {spot: true} : {}),
    });
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.register(state), HEARTBEAT_MS);
  }

  /** Ends without a word: its channels are reset, and its entry expires. */
  crash() {
    clearTimeout(this.timer);
    this.server.close();
    for (const socket of this.channels) socket.resetAndDestroy();
  }

  stop() {
    clearTimeout(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  handle(request, response) {
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const {headers} = request;
      const id = headers['x-buckthorngw-attempt-id'];
      if (id !== undefined) response.setHeader('X-Buckthorngw-Attempt-Id', id);
      const expected = headers['x-buckthorngw-expect-replica'];
      const status = id === undefined ? 400 : expected !== undefined && expected !== this.id ? 421 : undefined;
      if (status !== undefined) {
        response.writeHead(status, {'X-Buckthorngw-Not-Executed': '1', 'content-length': 0});
        return response.end();
      }
      const run = {
        id, atMs: Date.now(), path: request.url, method: request.method, headers, replica: this,
        body: Buffer.concat(chunks), response, channel: request.socket, endedAtMs: undefined, isDropped: false,
      };
      run.answer = (code, body, more = {}) => {
        if (run.isDropped) return;
        run.endedAtMs = Date.now();
        const bytes = Buffer.from(body);
        response.writeHead(code, {...this.getStamp(), 'content-length': bytes.length, ...more});
        response.end(bytes);
      };
      this.runs.push(run);
      response.on('close', () => {
        if (!response.writableFinished) run.isDropped = true;
      });
      this.work(request, run);
    });
  }

  getStamp() {
    return {'X-Buckthorngw-Replica-Stamp': `${this.id}.${randomBytes(4).toString('hex')}`};
  }

  /** Writes a stream of `count` events, one each `gapMs`; resumes after `Last-Event-Id`. */
  stream(run, {count, gapMs, firstMs = gapMs}) {
    const {response, headers} = run;
    response.writeHead(200, {...this.getStamp(), 'content-type': 'text/event-stream'});
    response.flushHeaders();
    let next = Number(headers['last-event-id'] ?? 0) + 1;
    const step = () => {
      if (run.isDropped) return;
      if (next > count) {
        run.endedAtMs = Date.now();
        return response.end();
      }
      response.write(`id: ${next}\ndata: ${run.path} ${next} of ${count}\n\n`);
      next += 1;
      setTimeout(step, gapMs);
    };
    setTimeout(step, firstMs);
  }
}
