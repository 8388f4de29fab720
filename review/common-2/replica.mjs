/** Stand-in of a plain replica: answers each request after a set time, with the headers that PROTOCOL.md names. */
import {createServer} from 'node:http';

/**
 * One start of a replica. `decideAnswer` may change the answer of a request: `refuse` rejects it without a run, `workMs`
 * changes its duration, `status` and `headers` those of its answer, and `raw` replaces the bytes of its answer.
 */
export class ReplicaStandIn {
  constructor({id, record, workMs, maxHeaderBytes = 65_536, decideAnswer = () => undefined}) {
    this.id = id;
    this.record = record;
    this.workMs = workMs;
    this.decideAnswer = decideAnswer;
    this.runs = [];
    this.server = createServer({maxHeaderSize: maxHeaderBytes}, (request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => this.serve(request, Buffer.concat(chunks), response));
    });
    this.server.keepAliveTimeout = 20_000;
  }

  async listen(ip, port) {
    this.address = `${ip}:${port}`;
    await new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  serve(request, body, response) {
    const requestId = request.headers['x-buckthorngw-attempt-id'];
    if (requestId === undefined) {
      response.writeHead(400, {'x-buckthorngw-not-executed': '1', 'content-length': '0'});
      return response.end();
    }
    const expected = request.headers['x-buckthorngw-expect-replica'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        'x-buckthorngw-attempt-id': requestId,
        'x-buckthorngw-not-executed': '1',
        'content-length': '0',
      });
      return response.end();
    }
    const special = this.decideAnswer(request, requestId);
    if (special?.refuse) {
      this.record('refused by replica', {replica: this.id, request: requestId});
      response.writeHead(503, {
        'x-buckthorngw-attempt-id': requestId,
        'x-buckthorngw-not-executed': '1',
        'content-length': '0',
      });
      return response.end();
    }
    this.runs.push(requestId);
    this.record('run', {replica: this.id, request: requestId, path: request.url});
    setTimeout(() => {
      if (response.destroyed) return;
      if (special?.raw) {
        this.record('spoilt answer of replica', {replica: this.id, request: requestId});
        return response.socket.write(special.raw);
      }
      const text = `result of ${requestId} by ${this.id}`;
      this.record('answered by replica', {replica: this.id, request: requestId});
      response.writeHead(special?.status ?? 200, {
        'content-type': 'text/plain',
        'content-length': String(text.length),
        'x-buckthorngw-attempt-id': requestId,
        'x-buckthorngw-replica-stamp': `stamp.${this.id}.${requestId}`,
        'x-buckthorngw-replica-load': '1,0,32',
        ...special?.headers,
      });
      response.end(text);
    }, special?.workMs ?? this.workMs);
  }
}
