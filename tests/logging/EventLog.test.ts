/** Tests of the rate limits of log events, and of the generated documentation page. */
import {readFileSync} from 'node:fs';
import t from 'tap';
import {EventLog, GATEWAY_EVENTS, type LogFields} from '../../src/logging/index.js';
import {renderEventPage} from '../../src/logging/renderEventPage.js';

interface Line {
  readonly level: string;
  readonly fields: LogFields;
  readonly message: string;
}

function createLog() {
  const clock = {nowMs: 0};
  const lines: Line[] = [];
  const createRecorder = (level: string) => (fields: LogFields, message: string) =>
    void lines.push({level, fields, message});
  const logger = {
    info: createRecorder('info'),
    warn: createRecorder('warn'),
    error: createRecorder('error'),
  };
  return {log: new EventLog({logger, getNowMs: () => clock.nowMs}), lines, clock};
}

t.test('EventLog', t => {
  t.test('writes an event with its level', t => {
    const {log, lines} = createLog();
    log.log('store lost', {topic: 'x'});
    t.same(lines, [{level: 'warn', fields: {topic: 'x'}, message: 'store lost'}]);
    t.end();
  });
  t.test('omits events above the rate limit and reports their number in the next line', t => {
    const {log, lines, clock} = createLog();
    const {maxPerSecond} = GATEWAY_EVENTS['store lost'];
    for (let count = 0; count < maxPerSecond + 7; count += 1) log.log('store lost', {});
    t.equal(lines.length, maxPerSecond);
    clock.nowMs = 1_000;
    log.log('store lost', {topic: 'x'});
    log.log('store lost', {topic: 'y'});
    t.same(lines.at(-2)?.fields, {topic: 'x', leftOut: 7});
    t.same(lines.at(-1)?.fields, {topic: 'y'});
    t.equal(log.omittedEvents, 7);
    t.end();
  });
  t.test('limits the rate of each event separately', t => {
    const {log, lines} = createLog();
    for (let count = 0; count < 1_000; count += 1) log.log('gossip not sent', {});
    log.log('duties lost', {});
    t.equal(lines.at(-1)?.message, 'duties lost');
    t.end();
  });
  t.test('bounds the total number of lines per second', t => {
    const {log, lines} = createLog();
    const names = Object.keys(GATEWAY_EVENTS) as (keyof typeof GATEWAY_EVENTS)[];
    for (let count = 0; count < 2_000; count += 1) names.forEach(name => log.log(name, {}));
    const limit = names.reduce((sum, name) => sum + GATEWAY_EVENTS[name].maxPerSecond, 0);
    t.equal(lines.length, limit);
    t.ok(limit < 2_000);
    t.end();
  });
  t.end();
});

t.test('docs/LOG-EVENTS.md matches the event list', t => {
  t.equal(readFileSync('docs/LOG-EVENTS.md', 'utf8'), renderEventPage());
  t.end();
});
