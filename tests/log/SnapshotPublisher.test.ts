/** Tests of the snapshot publisher in virtual time. */
import t from 'tap';
import {ConfigurationFold} from '../../src/folds/index.js';
import {LogWriter, SnapshotPublisher, StreamFollower} from '../../src/log/index.js';
import {decodeRecord, encodeRecord} from '../../src/records/index.js';
import {createConfiguration} from '../support/configurations.js';
import {FakeLog} from '../support/FakeLog.js';
import {createRandom} from '../support/random.js';
import {VirtualTime} from '../support/VirtualTime.js';

const INTERVAL_MS = 60_000;
const STREAM = 'configuration';

/** Starts an entry's follower and snapshot publisher of the configuration stream. */
function createReader(log: FakeLog, time: VirtualTime, name: string, random: () => number) {
  const {getNowMs, sleep} = time;
  const fold = new ConfigurationFold();
  const writer = new LogWriter({stream: STREAM, log, writer: name, timeoutMs: 3_000, sleep});
  const follower: StreamFollower = new StreamFollower({
    stream: STREAM,
    log,
    getNowMs,
    sleep,
    fold,
    writer,
    onApplied: placed => publisher.observe(placed),
  });
  const publisher: SnapshotPublisher = new SnapshotPublisher({
    fold,
    writer,
    getNowMs,
    sleep,
    random,
    intervalMs: INTERVAL_MS,
    getNextOffset: () => follower.getNextOffset(),
    isCaughtUp: () => follower.getCaughtUpAtMs() !== undefined,
  });
  follower.start();
  publisher.start();
  return fold;
}

/** Creates a log with one configuration and starts entries that read it and publish snapshots. */
async function createFixture(readerCount: number) {
  const time = new VirtualTime();
  const random = createRandom(4_401);
  const log = new FakeLog({getNowMs: time.getNowMs, sleep: time.sleep});
  const configuration = createConfiguration('one');
  const body = {kind: 'configuration', replacesRevision: 0, publishedBy: 'ctl', configuration};
  const appended = log.append(STREAM, [JSON.stringify({writer: 'ctl', sequence: 1, body})]);
  await time.advance(10);
  await appended;
  for (let index = 0; index < readerCount; index++) createReader(log, time, `e${index}`, random);
  const countSnapshots = () =>
    log
      .getRecords(STREAM)
      .map(({payload}) => decodeRecord(payload).body.kind)
      .filter(kind => kind === 'configuration-snapshot').length;
  return {time, random, log, countSnapshots};
}

t.test('SnapshotPublisher', t => {
  t.test('writes about one snapshot per interval however many entries publish', async t => {
    const {time, countSnapshots} = await createFixture(9);
    await time.advance(20 * INTERVAL_MS);
    t.ok(countSnapshots() >= 13 && countSnapshots() <= 30, `${countSnapshots()} snapshots`);
  });

  t.test('lets a reader start after retention has dropped the first records', async t => {
    const {time, random, log} = await createFixture(2);
    await time.advance(4 * INTERVAL_MS);
    log.dropBefore(STREAM, 2);
    const lateReader = createReader(log, time, 'late', random);
    await time.advance(2 * INTERVAL_MS);
    t.equal(lateReader.getRevision(), 1);
    t.ok(lateReader.isComplete());
    const configuration = createConfiguration('two');
    const body = {kind: 'configuration', replacesRevision: 1, configuration} as const;
    const record = {writer: 'ctl', sequence: 2, body: {...body, publishedBy: 'ctl'}};
    const appended = log.append(STREAM, [encodeRecord(record)]);
    await time.advance(1_000);
    await appended;
    t.equal(lateReader.getRevision(), 2);
  });
  t.end();
});
