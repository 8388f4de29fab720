/** Tests of the log writer in virtual time. */
import t from 'tap';
import {ClaimsFold} from '../../src/folds/index.js';
import {LogWriter, StreamFollower} from '../../src/log/index.js';
import {decodeRecord, type LogBody} from '../../src/records/index.js';
import {FakeLog, type AppendBehavior} from '../support/FakeLog.js';
import {VirtualTime} from '../support/VirtualTime.js';

const TIMEOUT_MS = 3_000;
/** An append that succeeds at once. */
const SUCCESS: AppendBehavior = {delayMs: 1, answerDelayMs: 1, isLost: false, isAnswerLost: false};

function createBody(key: string): LogBody {
  const claim = {workspace: 'w', key, attemptId: key, claimant: 'e1', fingerprint: 'f'};
  return {kind: 'claim-batch', claims: [claim]};
}

function createWriter(fates: AppendBehavior[]) {
  const time = new VirtualTime();
  const {getNowMs, sleep} = time;
  const log = new FakeLog({getNowMs, sleep, chooseAppendBehavior: () => fates.shift() ?? SUCCESS});
  const writer = new LogWriter({
    stream: 'claims',
    log,
    writer: 'e1',
    timeoutMs: TIMEOUT_MS,
    sleep,
  });
  const fold = new ClaimsFold();
  const follower = new StreamFollower({stream: 'claims', log, getNowMs, sleep, fold, writer});
  follower.start();
  const getSequences = () =>
    log.getRecords('claims').map(({payload}) => decodeRecord(payload).sequence);
  return {time, log, writer, fold, getSequences};
}

t.test('LogWriter', t => {
  t.test('propose resolves with the first offset of a record that was appended twice', async t => {
    const {time, writer, getSequences} = createWriter([{...SUCCESS, isAnswerLost: true}]);
    const placed = writer.propose(createBody('k'));
    await time.advance(TIMEOUT_MS);
    t.equal((await placed).offset, 0);
    t.equal(getSequences()[0], 1);
  });

  t.test('propose retries an append that was lost', async t => {
    const {time, writer, getSequences} = createWriter([{...SUCCESS, isLost: true}]);
    const placed = writer.propose(createBody('k'));
    await time.advance(TIMEOUT_MS);
    t.equal((await placed).offset, 0);
    t.same(getSequences(), [1]);
  });

  t.test('propose times out, and its record may reach the log after a later one', async t => {
    const delayed = {...SUCCESS, delayMs: TIMEOUT_MS + 1_000};
    const {time, writer, getSequences} = createWriter([delayed]);
    const first = writer.propose(createBody('k1')).catch((error: unknown) => String(error));
    const second = writer.propose(createBody('k2'));
    await time.advance(2 * TIMEOUT_MS);
    t.match(await first, /not read back within 3000 ms/);
    t.equal((await second).record.sequence, 2);
    t.same(getSequences(), [2, 1]);
  });

  t.test('proposeAll appends all records in one batch', async t => {
    const {time, log, writer} = createWriter([]);
    const placed = writer.proposeAll([createBody('k1'), createBody('k2')]);
    await time.advance(TIMEOUT_MS);
    t.equal((await placed).offset, 1);
    t.equal(log.getAppendCount(), 1);
  });

  t.test('propose backs off between retries during an outage', async t => {
    const {time, log, writer} = createWriter([]);
    log.setOutage(true);
    const placed = writer.propose(createBody('k')).catch(() => 'refused');
    await time.advance(TIMEOUT_MS + 100);
    t.equal(await placed, 'refused');
    t.ok(log.getAttemptedAppendCount() <= 8, `${log.getAttemptedAppendCount()} appends in 3 s`);
  });
  t.end();
});
