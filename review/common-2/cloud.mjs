/** Stand-in of the platform's duty calls: accepts usage reports and orders, and fences stale holders. */
import {createServer} from 'node:http';

/** Counts the calls; every call with a fencing token that isn't too low is accepted. */
export class CloudStandIn {
  /** @param record - Called with each call. */
  constructor(record) {
    this.record = record;
    this.calls = [];
    this.highest = new Map();
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => this.serve(request, Buffer.concat(chunks), response));
    });
  }

  async listen(ip, port) {
    await new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  serve(request, bytes, response) {
    const token = Number(request.headers['x-buckthorngw-fence-token']);
    const body = JSON.parse(bytes.toString());
    const subject = request.url === '/usage' ? 'usage' : `${body.service}/${body.zone}`;
    const isFenced = token < (this.highest.get(subject) ?? -1);
    if (!isFenced) this.highest.set(subject, token);
    const holder = request.headers['x-buckthorngw-duty-holder'];
    this.calls.push({atMs: Date.now(), path: request.url, subject, holder, token, isFenced, body});
    this.record('duty call', {path: request.url, holder, token, subject, answer: isFenced ? 409 : 200});
    response.writeHead(isFenced ? 409 : 200, {'content-length': '0'});
    response.end();
  }
}
