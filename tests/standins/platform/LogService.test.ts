/** Tests of appends, reads, retention and faults of the log service stand-in. */
import t from 'tap';
import {request} from 'undici';
import {LogService} from '../../../standins/index.js';

async function startLog(options: {maxAppendsPerSecond?: number; retentionMs?: number} = {}) {
  const log = new LogService({
    address: '127.0.0.1',
    port: 0,
    maxAppendsPerSecond: 100,
    retentionMs: 60_000,
    random: () => 0,
    ...options,
  });
  await log.start();
  const url = `http://127.0.0.1:${log.getPort()}`;
  const append = async (...payloads: readonly string[]) => {
    const body = JSON.stringify({payloads});
    const answer = await request(`${url}/v1/streams/s/records`, {method: 'POST', body});
    await answer.body.dump();
    return answer.statusCode;
  };
  const read = async (query: string) => {
    const answer = await request(`${url}/v1/streams/s/records?${query}`);
    return (await answer.body.json()) as {
      readonly records: ReadonlyArray<{readonly offset: number; readonly payload: string}>;
      readonly nextOffset: number;
      readonly earliestOffset: number;
    };
  };
  const setFaults = async (faults: object) => {
    const body = JSON.stringify(faults);
    await (await request(`${url}/standin/faults`, {method: 'PUT', body})).body.dump();
  };
  return {log, append, read, setFaults};
}

t.test('LogService', t => {
  t.test('assigns consecutive offsets to the records of a batch', async t => {
    const {log, append, read} = await startLog();
    t.teardown(() => log.stop());
    await append('a', 'b');
    await append('c');
    const {records, nextOffset} = await read('from=1');
    t.same(
      [records.map(({offset, payload}) => `${offset}${payload}`), nextOffset],
      [['1b', '2c'], 3],
    );
  });

  t.test('holds a read until a record is appended', async t => {
    const {log, append, read} = await startLog();
    t.teardown(() => log.stop());
    const waiting = read('from=0&waitMs=10000');
    await append('a');
    t.equal((await waiting).records.length, 1);
  });

  t.test('stores the record of an append whose response is lost', async t => {
    const {log, append, read, setFaults} = await startLog();
    t.teardown(() => log.stop());
    await setFaults({loseAnswersPercent: 100});
    await t.rejects(append('a'));
    t.equal((await read('from=0')).records.length, 1);
  });

  t.test('rejects appends over the rate limit, and all appends during an outage', async t => {
    const {log, append, setFaults} = await startLog({maxAppendsPerSecond: 1});
    t.teardown(() => log.stop());
    t.same([await append('a'), await append('b')], [200, 429]);
    await setFaults({hasOutage: true});
    t.equal(await append('c'), 503);
  });

  t.test('drops records older than the retention time', async t => {
    const {log, append, read} = await startLog({retentionMs: 1});
    t.teardown(() => log.stop());
    await append('a');
    await new Promise(resolve => setTimeout(resolve, 5));
    const {records, earliestOffset, nextOffset} = await read('from=0');
    t.same([records.length, earliestOffset, nextOffset], [0, 1, 1]);
  });
  t.end();
});
