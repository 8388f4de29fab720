/** Tests of publishing to the configuration stream, with races, lost append responses and an unavailable log. */
import t from 'tap';
import {systemSleep} from '../../src/log/index.js';
import {ConfigurationStream, publishAnswersFile} from '../../src/operator/index.js';
import {generateConfiguration, readAnswersFile} from '../../src/questionnaire/index.js';
import {FakeLog} from '../support/FakeLog.js';
import {assertRejectsKind} from '../support/assertions.js';

/** Longer than the writer's delay before it retries an append, so that one read returns a record and its duplicate. */
const LONG_READ_MS = 250;
const ANSWERS_PATH = 'examples/barnehageplass.answers.yaml';
const {configuration: CONFIGURATION} = generateConfiguration(
  await readAnswersFile(ANSWERS_PATH, 0),
  {inForce: undefined, createKey: () => 'key'},
);

function createLog(isAnswerLost = false): FakeLog {
  const chooseAppendBehavior = () => ({delayMs: 1, answerDelayMs: 1, isLost: false, isAnswerLost});
  return new FakeLog({
    getNowMs: Date.now,
    sleep: systemSleep,
    chooseAppendBehavior,
    readDelayMs: isAnswerLost ? LONG_READ_MS : 1,
  });
}

async function openStream(log: FakeLog, writer: string, timeoutMs = 5_000) {
  const stream = new ConfigurationStream({log, writer, getNowMs: Date.now, timeoutMs});
  await stream.open();
  return stream;
}

t.test('ConfigurationStream', async t => {
  await t.test('publish returns the offset and the revision', async t => {
    const stream = await openStream(createLog(), 'a');
    t.same(await stream.publish(CONFIGURATION, 0, 'kari'), {
      isAccepted: true,
      revision: 1,
      publishedBy: 'kari',
      offset: 0,
    });
    t.equal(stream.getInForce().revision, 1);
    await stream.close();
  });

  await t.test(
    'publish accepts one of two racing configurations and names its publisher to both',
    async t => {
      const log = createLog();
      const streams = [await openStream(log, 'a'), await openStream(log, 'b')] as const;
      const results = await Promise.all([
        streams[0].publish(CONFIGURATION, 0, 'kari'),
        streams[1].publish(CONFIGURATION, 0, 'ama'),
      ]);
      const winner = results[0].isAccepted ? 'kari' : 'ama';
      t.equal(results.filter(({isAccepted}) => isAccepted).length, 1);
      t.same(
        results.map(({publishedBy}) => publishedBy),
        [winner, winner],
      );
      await Promise.all(streams.map(stream => stream.close()));
    },
  );

  await t.test(
    'publish succeeds if append responses are lost and the log stores the record twice',
    async t => {
      const log = createLog(true);
      const stream = await openStream(log, 'a');
      const {isAccepted, revision, offset} = await stream.publish(CONFIGURATION, 0, 'kari');
      t.same({isAccepted, revision, offset}, {isAccepted: true, revision: 1, offset: 0});
      t.ok(log.getRecords('configuration').length > 1);
      await stream.close();
    },
  );

  await t.test('publish rejects if the log is unavailable', async t => {
    const log = createLog();
    const stream = await openStream(log, 'a', 300);
    log.setOutage(true);
    await assertRejectsKind(t, stream.publish(CONFIGURATION, 0, 'kari'), 'log-unavailable');
    await stream.close();
  });

  await t.test('open rejects if the log is unavailable', async t => {
    const log = createLog();
    log.setOutage(true);
    await assertRejectsKind(t, openStream(log, 'a', 300), 'log-unavailable');
  });
});

t.test('publishAnswersFile', async t => {
  const log = createLog();
  const publish = (writer: string) =>
    publishAnswersFile({
      answersPath: ANSWERS_PATH,
      log,
      writer,
      publishedBy: 'kari',
      getNowMs: Date.now,
      timeoutMs: 5_000,
    });
  t.equal((await publish('a')).revision, 1);
  t.equal((await publish('b')).revision, 2);
  t.equal(log.getRecords('configuration').length, 2);
});
