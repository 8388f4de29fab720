/** Responses that a server cuts off at any position, in its head or its body: none may count as complete. */
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import t from 'tap';
import {BackendConnections} from '../../platform/BackendConnections.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, createServer as createEntry} from '../exchange/exchangeFixtures.js';

/** How the server ends the connection after the bytes that it has sent. */
type Ending = 'closed' | 'reset';

interface Framing {
  readonly name: string;
  /** Header lines that mark the end of the body. */
  readonly fields: string;
  readonly body: string;
  /** Whether the body ends with its connection: a closed connection then completes any body. */
  readonly endsWithConnection?: boolean;
}

const FRAMINGS: readonly Framing[] = [
  {name: 'a length', fields: 'content-length: 5\r\n', body: 'whole'},
  {
    name: 'a length and no further requests',
    fields: 'connection: close\r\ncontent-length: 5\r\n',
    body: 'whole',
  },
  {
    name: 'chunks',
    fields: 'transfer-encoding: chunked\r\n',
    body: '3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n',
  },
  {
    name: 'chunks and no further requests',
    fields: 'connection: close\r\ntransfer-encoding: chunked\r\n',
    body: '3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n',
  },
  {name: 'neither', fields: '', body: 'whole', endsWithConnection: true},
];
const HEAD =
  'HTTP/1.1 200 OK\r\nx-buckthorngw-attempt-id: q1\r\nx-buckthorngw-replica-stamp: s\r\n';
const KEPT_RESPONSE = `${HEAD}content-length: 2\r\n\r\nok`;
/** Time between the last bytes and a reset, so that they are read first. */
const RESET_DELAY_MS = 2;

/** Returns whether a request ends with a response that counts as complete. */
function isCompleted(connections: BackendConnections, port: number): Promise<boolean> {
  const known = createEntry('s1');
  const server = {...known, entry: {...known.entry, address: `127.0.0.1:${port}`}};
  return new Promise(resolve => {
    connections.send(
      {
        request: REQUEST,
        server,
        workspace: 'w',
        deadlineMs: 900,
        priority: 2,
        isStream: false,
        resumeAfterEventId: undefined,
        maxConnections: 4,
      },
      {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve(true),
        onFailure: () => resolve(false),
      },
    );
  });
}

function endWith(socket: Socket, bytes: string, ending: Ending): void {
  if (ending === 'closed') socket.end(bytes);
  else if (bytes === '') socket.resetAndDestroy();
  else socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS));
}

async function listen(handle: (socket: Socket, request: number) => void): Promise<Server> {
  const server = createServer(socket => {
    let requests = 0;
    socket.on('error', () => undefined);
    socket.on('data', () => handle(socket, (requests += 1)));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

/** Returns the numbers of bytes after which a cut response counted as complete. */
async function findCompletedCuts(
  response: string,
  ending: Ending,
  isKept: boolean,
): Promise<readonly number[]> {
  const completed: number[] = [];
  for (let length = 0; length <= response.length; length += 1) {
    const server = await listen((socket, request) => {
      if (isKept && request === 1) socket.write(KEPT_RESPONSE);
      else endWith(socket, response.slice(0, length), ending);
    });
    const {port} = server.address() as AddressInfo;
    const connections = new BackendConnections(silentEvents, () => performance.now());
    if (isKept) await isCompleted(connections, port);
    if (await isCompleted(connections, port)) completed.push(length);
    connections.removeServers(() => false);
    server.close();
  }
  return completed;
}

t.test('a response that is cut off', async t => {
  for (const {name, fields, body, endsWithConnection = false} of FRAMINGS) {
    for (const ending of ['closed', 'reset'] as const) {
      for (const isKept of [false, true]) {
        const connection = isKept ? 'kept' : 'new';
        t.test(`with ${name}, ${ending}, on a ${connection} connection`, async t => {
          const head = `${HEAD}${fields}\r\n`;
          const response = head + body;
          const completed = await findCompletedCuts(response, ending, isKept);
          const whole = endsWithConnection && ending === 'reset' ? [] : [response.length];
          const allBodies = Array.from({length: body.length + 1}, (_, sent) => head.length + sent);
          t.same(completed, endsWithConnection && ending === 'closed' ? allBodies : whole);
        });
      }
    }
  }
});
