/** Responses that are none: of an impossible status, or cut off while the request is still being sent. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import {BackendConnections} from '../../platform/BackendConnections.js';
import type {BackendFailure} from '../../src/exchange/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, createServer as createEntry} from '../exchange/exchangeFixtures.js';

/** More than the system takes from this process before the server reads it. */
const UPLOAD = Buffer.alloc(32_000_000);
const FIELDS = 'x-buckthorngw-attempt-id: q1\r\nx-buckthorngw-replica-stamp: s\r\n';
/** Time in which the part of a response is read, while the upload goes on. */
const RESET_DELAY_MS = 50;

interface Result {
  readonly statuses: readonly number[];
  readonly failure: BackendFailure | undefined;
}

/** Sends a request to a server that handles its connection with `respond`. */
async function exchange(t: Test, body: Buffer, respond: (socket: Socket) => void): Promise<Result> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  t.teardown(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const known = createEntry('s1');
  const connections = new BackendConnections(silentEvents, () => performance.now());
  const statuses: number[] = [];
  const failure = await new Promise<BackendFailure | undefined>(resolve => {
    connections.send(
      {
        request: {...REQUEST, id: 'q1', method: 'POST', body},
        server: {...known, entry: {...known.entry, address: `127.0.0.1:${port}`}},
        workspace: 'w',
        deadlineMs: 900,
        priority: 2,
        isStream: false,
        resumeAfterEventId: undefined,
        maxConnections: 4,
      },
      {
        onHead: ({status}) => statuses.push(status),
        onData: () => undefined,
        onEnd: () => resolve(undefined),
        onFailure: resolve,
      },
    );
  });
  connections.removeServers(() => false);
  return {statuses, failure};
}

t.test('a response whose status does not exist is none', async t => {
  for (const status of ['000', '099', '101', '600', '999']) {
    for (const version of ['1.1', '1.0']) {
      t.test(`${status} in HTTP/${version}`, async t => {
        const head = `HTTP/${version} ${status} Odd\r\n${FIELDS}`;
        const {statuses, failure} = await exchange(t, Buffer.from('question'), socket =>
          socket.end(`${head}content-length: 2\r\n\r\nok`),
        );
        t.same(statuses, []);
        t.match(failure, {isSent: true});
      });
    }
  }
});

t.test('an early response that is reset during the upload is not complete', async t => {
  for (const version of ['1.1', '1.0']) {
    for (const {name, fields, part} of [
      {name: 'neither length nor chunks', fields: '', part: 'part'},
      {name: 'a length', fields: 'content-length: 9\r\n', part: 'part'},
      {name: 'chunks', fields: 'transfer-encoding: chunked\r\n', part: '4\r\npart\r\n'},
      {name: 'a large part of a body without length', fields: '', part: 'x'.repeat(300_000)},
    ]) {
      t.test(`with ${name}, HTTP/${version}`, async t => {
        const {failure} = await exchange(t, UPLOAD, socket => {
          socket.pause();
          socket.write(`HTTP/${version} 200 OK\r\n${FIELDS}${fields}\r\n${part}`);
          setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        });
        t.match(failure, {isSent: true});
      });
    }
  }
});
