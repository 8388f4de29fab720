/** Tests of the log tailer in virtual time. */
import t from 'tap';
import {LogTailer, type LogAccess, type LogSlice} from '../../src/log/index.js';
import {VirtualTime} from '../support/VirtualTime.js';

const LONG_POLL_MS = 2_000;
const FREEZE_MS = 60_000;
const EMPTY: LogSlice = {records: [], nextOffset: 0, earliestOffset: 0, endOffset: 0};

function createTailer(read: LogAccess['read'], time: VirtualTime, offsets: number[] = []) {
  return new LogTailer({
    stream: 'configuration',
    log: {read, append: () => Promise.reject(new Error('not used'))},
    getNowMs: time.getNowMs,
    sleep: time.sleep,
    longPollMs: LONG_POLL_MS,
    onRecords: records => offsets.push(...records.map(({offset}) => offset)),
  });
}

t.test('LogTailer', t => {
  t.test('getCaughtUpAtMs does not count the time of a pause during a long poll', async t => {
    const time = new VirtualTime();
    const tailer = createTailer(async (stream, {waitMs}) => {
      await time.sleep(waitMs === 0 ? 1 : FREEZE_MS);
      return EMPTY;
    }, time);
    tailer.start();
    await time.advance(FREEZE_MS + 10);
    t.ok((tailer.getCaughtUpAtMs() ?? 0) <= LONG_POLL_MS + 10);
    void tailer.stop();
    await time.advance(2 * FREEZE_MS);
  });

  t.test('onRecords gets each record once even if reads overlap', async t => {
    const time = new VirtualTime();
    const offsets: number[] = [];
    let reads = 0;
    const tailer = createTailer(
      async () => {
        await time.sleep(10);
        const first = Math.max(0, reads++ - 1);
        const records = [first, first + 1].map(offset => ({offset, atMs: 0, payload: ''}));
        return {records, nextOffset: first + 2, earliestOffset: 0, endOffset: first + 2};
      },
      time,
      offsets,
    );
    tailer.start();
    await time.advance(35);
    t.same(offsets, [0, 1, 2]);
    void tailer.stop();
    await time.advance(100);
  });
  t.end();
});
