/** Tests of the record codec. */
import t from 'tap';
import {decodeRecord, encodeRecord, type LogRecord} from '../../src/records/index.js';
import {assertThrowsKind} from '../support/assertions.js';

const RECORD: LogRecord = {
  writer: 'entry-1',
  sequence: 1,
  body: {kind: 'lease-claim', followsOffset: -1, holder: 'fleet-1', termMs: 3_000},
};

t.test('decodeRecord', t => {
  function doTest(name: string, payload: string, expectedKind: string | undefined) {
    t.test(name, t => {
      if (expectedKind === undefined) {
        assertThrowsKind(t, () => decodeRecord(payload), 'invalid-record');
      } else {
        t.equal(decodeRecord(payload).body.kind, expectedKind);
      }
      t.end();
    });
  }

  doTest('decodes the output of encodeRecord', encodeRecord(RECORD), 'lease-claim');
  doTest('rejects a payload that is not JSON', '{"writer"', undefined);
  doTest('rejects an unknown kind', '{"writer":"a","sequence":1,"body":{"kind":"x"}}', undefined);
  doTest('rejects a sequence number of zero', encodeRecord({...RECORD, sequence: 0}), undefined);
  t.end();
});
