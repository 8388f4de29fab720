/** Connections to backend servers against a server that answers with raw bytes. */
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import t from 'tap';
import {BackendConnections} from '../../platform/BackendConnections.js';
import type {BackendFailure, BackendHead} from '../../src/exchange/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, createServer as createEntry} from '../exchange/exchangeFixtures.js';

interface Reply {
  readonly heads: BackendHead[];
  readonly body: string;
  readonly failure: BackendFailure | undefined;
}

type Answer = (socket: Socket, requestText: string) => void;

async function listen(answer: Answer): Promise<Server> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', data => answer(socket, data.toString('latin1')));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

function send(connections: BackendConnections, port: number, id = 'q1'): Promise<Reply> {
  const known = createEntry('s1');
  const server = {...known, entry: {...known.entry, address: `127.0.0.1:${port}`}};
  const heads: BackendHead[] = [];
  let body = '';
  return new Promise(resolve => {
    connections.send(
      {
        request: {...REQUEST, id, body: Buffer.from('question'), method: 'POST'},
        server,
        workspace: 'w',
        deadlineMs: 900,
        priority: 2,
        isStream: true,
        resumeAfterEventId: undefined,
        maxConnections: 4,
      },
      {
        onHead: head => heads.push(head),
        onData: chunk => (body += chunk.toString()),
        onEnd: () => resolve({heads, body, failure: undefined}),
        onFailure: failure => resolve({heads, body, failure}),
      },
    );
  });
}

function getPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

const SIGNED = 'x-buckthorngw-replica-stamp: s\r\n';

t.test('BackendConnections', t => {
  const doTest = (name: string, answer: Answer, check: (reply: Reply) => void) => {
    t.test(name, async t => {
      const server = await listen(answer);
      t.teardown(() => server.close());
      const connections = new BackendConnections(silentEvents);
      check(await send(connections, getPort(server)));
      connections.removeServers(() => false);
    });
  };

  doTest(
    'an answer without a length ends with its connection',
    socket => socket.end(`HTTP/1.1 200 OK\r\n${SIGNED}connection: close\r\n\r\nwhole`),
    reply => {
      t.equal(reply.body, 'whole');
      t.equal(reply.failure, undefined);
    },
  );
  doTest(
    'an answer without a length is not whole where its connection is reset',
    socket => {
      socket.write(`HTTP/1.1 200 OK\r\n${SIGNED}connection: close\r\n\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    reply => t.match(reply.failure, {kind: 'broken', isSent: true}),
  );
  doTest(
    'nor where the reset arrives together with the last bytes',
    socket => {
      socket.write(`HTTP/1.1 200 OK\r\n${SIGNED}connection: close\r\n\r\nhalf`, () =>
        socket.resetAndDestroy(),
      );
    },
    reply => t.match(reply.failure, {kind: 'broken', isSent: true}),
  );
  doTest(
    'an answer that ends before its length is broken',
    socket => socket.end(`HTTP/1.1 200 OK\r\n${SIGNED}content-length: 9\r\n\r\nhalf`),
    reply => t.match(reply.failure, {kind: 'broken', isSent: true}),
  );
  doTest(
    'an answer to another request is not taken',
    socket =>
      socket.write('HTTP/1.1 200 OK\r\nx-buckthorngw-attempt-id: q0\r\ncontent-length: 0\r\n\r\n'),
    reply => {
      t.same(reply.heads, []);
      t.match(reply.failure, {kind: 'garbled', isSent: true});
    },
  );
  doTest(
    'bytes that are no answer are a failure',
    socket => socket.write('hello\r\n\r\n'),
    reply => t.match(reply.failure, {kind: 'broken', isSent: true}),
  );
  doTest(
    'a server that did not run the request says so',
    socket =>
      socket.write('HTTP/1.1 503 no\r\nx-buckthorngw-not-executed: 1\r\ncontent-length: 0\r\n\r\n'),
    reply => t.match(reply.heads, [{isNotRun: true, isSigned: false}]),
  );

  t.test('the request names the server, the workspace and the time left', async t => {
    let seen = '';
    const server = await listen((socket, text) => {
      seen += text;
      socket.write(`HTTP/1.1 200 OK\r\n${SIGNED}content-length: 0\r\n\r\n`);
    });
    t.teardown(() => server.close());
    const connections = new BackendConnections(silentEvents);
    await send(connections, getPort(server));
    connections.removeServers(() => false);
    t.match(seen, /^POST \/a\/1 HTTP\/1.1\r\n/);
    t.match(seen, /host: h.example\r\n/i);
    t.match(seen, /x-buckthorngw-expect-replica: s1\r\n/);
    t.match(seen, /x-buckthorngw-tenant: w\r\n/);
    t.match(seen, /x-buckthorngw-deadline-ms: 900\r\n/);
    t.match(seen, /question$/);
  });

  t.test('a port that nobody listens on has not got the request', async t => {
    const server = await listen(() => undefined);
    const port = getPort(server);
    await new Promise(resolve => server.close(resolve));
    const reply = await send(new BackendConnections(silentEvents), port);
    t.match(reply.failure, {kind: 'unreachable', isSent: false});
  });

  t.test('a second answer that nobody asked for is not taken for the next one', async t => {
    let count = 0;
    const server = await listen((socket, text) => {
      count += 1;
      const id = /attempt-id: (\S+)/.exec(text)?.[1];
      const answer = `HTTP/1.1 200 OK\r\n${SIGNED}x-buckthorngw-attempt-id: ${id}\r\ncontent-length: 2\r\n\r\n`;
      socket.write(`${answer}a${count}${count === 1 ? `${answer}zz` : ''}`);
    });
    t.teardown(() => server.close());
    const connections = new BackendConnections(silentEvents);
    await send(connections, getPort(server), 'q1');
    const second = await send(connections, getPort(server), 'q2');
    t.not(second.body, 'zz');
    connections.removeServers(() => false);
  });
  t.end();
});
