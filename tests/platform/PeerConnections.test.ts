/** How a request and its response pass between two gateways. */
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import t from 'tap';
import {encodeRequestHeaders} from '../../platform/BackendConnections.js';
import {decodeCallerRequest} from '../../platform/decodeCallerRequest.js';
import {HEADERS} from '../../platform/names.js';
import {PeerConnections} from '../../platform/PeerConnections.js';
import type {BackendFailure, BackendHead, ServingRequest} from '../../src/exchange/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, createServer as createBackend} from '../exchange/exchangeFixtures.js';

const CALLER_HEADERS = {
  [HEADERS.requestId]: 'q1',
  [HEADERS.tokenCount]: '120,30',
  [HEADERS.promptParts]: 'ab:100,cd:20',
  'x-own': 'kept',
};
const BODY = Buffer.from('question');

function createRequest(fields: Partial<ServingRequest> = {}): ServingRequest {
  return {
    ...REQUEST,
    id: 'q1',
    method: 'POST',
    host: 'app.example',
    path: '/a/1?x=y',
    key: 'secret',
    headers: CALLER_HEADERS,
    body: BODY,
    lastEventId: '7',
    ...fields,
  };
}

/** Sends a request to a peer that answers with two events; returns what the peer got and what came back. */
async function exchange(request: ServingRequest) {
  let received: {message: IncomingMessage; body: Buffer} | undefined;
  const server = createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (chunk: Buffer) => chunks.push(chunk));
    message.on('end', () => {
      received = {message, body: Buffer.concat(chunks)};
      response.writeHead(200, {[HEADERS.signature]: 's', [HEADERS.requestId]: 'q1', 'x-a': 'b'});
      response.write('id: 8\ndata: x\n\n');
      response.end('id: 9\ndata: y\n\n');
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const connections = new PeerConnections('g1', silentEvents, () => performance.now());
  const heads: BackendHead[] = [];
  let body = '';
  const failure = await new Promise<BackendFailure | undefined>(resolve => {
    connections.send(
      {request, peer: {id: 'g2', trafficAddress: `127.0.0.1:${port}`}, deadlineMs: 1_234.5},
      {
        onHead: head => heads.push(head),
        onData: chunk => (body += chunk.toString()),
        onEnd: () => resolve(undefined),
        onFailure: resolve,
      },
    );
  });
  connections.removePeers(() => false);
  server.close();
  if (!received) throw new Error('the peer received no request');
  return {received, heads, body, failure};
}

t.test('PeerConnections', t => {
  t.test('the other gateway gets the request as its caller sent it', async t => {
    const sent = createRequest();
    const {received} = await exchange(sent);
    const decoded = decodeCallerRequest(received.message, received.body, 0);
    t.equal(decoded?.deadlineMs, 1_234, 'what is left of the time');
    t.ok(decoded?.isForwarded);
    const {id, method, host, path, key, body, lastEventId} = sent;
    t.match(decoded, {id, method, host, path, key, body, lastEventId, tokens: 150});
    t.match(decoded?.headers, CALLER_HEADERS);
  });

  t.test('the response comes back as it is, with its signature', async t => {
    const {heads, body, failure} = await exchange(createRequest());
    t.equal(failure, undefined);
    t.match(heads, [
      {status: 200, isSigned: true, headers: {[HEADERS.signature]: 's', 'x-a': 'b'}},
    ]);
    t.equal(body, 'id: 8\ndata: x\n\nid: 9\ndata: y\n\n');
  });

  t.test('the mark of a forwarded request does not reach a backend server', async t => {
    const {received} = await exchange(createRequest());
    const request = decodeCallerRequest(received.message, received.body, 0);
    if (!request) throw new Error('the request has no id');
    const headers = encodeRequestHeaders({
      request,
      server: createBackend('s1'),
      workspace: 'w',
      deadlineMs: 900,
      priority: 1,
      isStream: false,
      resumeAfterEventId: undefined,
      maxConnections: 4,
    });
    t.notOk(HEADERS.forwardedBy in headers);
    t.notOk('authorization' in headers, 'nor the key');
  });
  t.end();
});
