/** Tests of the peer service's authentication by deployment key. */
import {Code, ConnectError} from '@connectrpc/connect';
import t from 'tap';
import {PeerClient, PeerKeys, PeerServer} from '../../src/peer/index.js';
import {assertThrowsKind} from '../support/assertions.js';

t.test('PeerServer', t => {
  function doTest(name: string, serverKeys: string[], clientKeys: string[], expected: string) {
    t.test(name, async t => {
      const address = '127.0.0.1';
      const server = new PeerServer({address, port: 0, keys: new PeerKeys(serverKeys)});
      server.addHandlers({probe: ({sequence}) => ({sequence})});
      const peerPort = await server.start();
      const client = new PeerClient({keys: new PeerKeys(clientKeys), timeoutMs: 1_000});
      const outcome = await client
        .getCalls({address, peerPort})
        .probe({sequence: 7n})
        .then(({sequence}) => `sequence ${sequence}`)
        .catch((error: unknown) => Code[ConnectError.from(error).code]);
      t.equal(outcome, expected);
      client.close();
      await server.stop();
    });
  }

  doTest('accepts a call with the key', ['one'], ['one'], 'sequence 7');
  doTest('rejects a call with another key', ['one'], ['two'], 'Unauthenticated');
  doTest('accepts the old key during a rotation', ['new', 'old'], ['old', 'new'], 'sequence 7');
  doTest('accepts the new key during a rotation', ['old', 'new'], ['new'], 'sequence 7');
  t.end();
});

t.test('PeerKeys rejects an empty key', t => {
  assertThrowsKind(t, () => new PeerKeys(['']), 'invalid-settings');
  t.end();
});
