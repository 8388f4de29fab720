/** Tests of parsing logs, explaining a request and grouping failures. */
import t from 'tap';
import {
  explainRequest,
  formatFailureGroup,
  parseLogLine,
  parseLogs,
  summarizeFailures,
} from '../../src/explain/index.js';

interface LineFields {
  readonly [name: string]: unknown;
}

/** Returns a log line; `atMs` is relative to a fixed start time. */
function createLogLine(
  atMs: number,
  instanceId: string,
  msg: string,
  fields: LineFields = {},
): string {
  const time = new Date(Date.UTC(2026, 0, 1, 12, 0, 0, atMs)).toISOString();
  return JSON.stringify({name: 'x', pid: 1, level: 30, instanceId, ...fields, msg, time, v: 0});
}

const G1_LOG = [
  createLogLine(0, 'g1', 'started'),
  createLogLine(10, 'g1', 'configuration in force', {version: 7}),
  createLogLine(20, 'g1', 'backend server', {server: 's1', change: 'added', service: 'app'}),
  createLogLine(30, 'g1', 'backend server', {server: 's2', change: 'added', service: 'app'}),
  createLogLine(500, 'g1', 'store lost', {topic: 'registrations'}),
  createLogLine(600, 'g1', 'backend server', {server: 's1', change: 'draining', toldBy: 'g2'}),
  createLogLine(900, 'g1', 'request', {
    request: 'r1',
    outcome: 'broken-off',
    refusal: 'backend-failed',
    attempts: 1,
    server: 's1',
    detail: 'read ECONNRESET 10.0.0.1:80',
  }),
].join('\n');
const G2_LOG = [
  createLogLine(880, 'g2', 'request', {request: 'r2', outcome: 'answered', server: 's1'}),
  createLogLine(910, 'g2', 'request', {
    request: 'r3',
    outcome: 'broken-off',
    refusal: 'backend-failed',
    server: 's1',
    detail: 'read ECONNRESET 10.0.0.9:81',
  }),
  createLogLine(950, 'g2', 'request refused', {request: 'r4', refusal: 'no-key'}),
].join('\n');

t.test('parseLogLine', t => {
  t.match(parseLogLine(`  12.3 host ${createLogLine(5, 'g1', 'started')}`), {
    gatewayId: 'g1',
    event: 'started',
    atMs: Date.UTC(2026, 0, 1, 12, 0, 0, 5),
  });
  for (const text of ['', 'hello', '{"msg":"x"}', createLogLine(5, 'g1', 'started').slice(0, -9)]) {
    t.equal(parseLogLine(text), undefined);
  }
  t.end();
});

t.test('parseLogs', t => {
  const {events, unreadableLines} = parseLogs([`${G1_LOG}\n{"cut`, G2_LOG]);
  t.equal(unreadableLines, 1);
  t.same(
    events.slice(-4).map(({fields}) => fields.request),
    ['r2', 'r1', 'r3', 'r4'],
    'events of all logs in chronological order',
  );
  t.end();
});

t.test('explainRequest', t => {
  const {events} = parseLogs([G2_LOG, G1_LOG]);
  t.test('includes the state of the gateway and the changes of the server', t => {
    t.same(explainRequest(events, 'r1'), [
      '2026-01-01T12:00:00.900Z g1 request: outcome=broken-off refusal=backend-failed attempts=1 server=s1 detail=read ECONNRESET 10.0.0.1:80',
      '  gateway state: configuration 7; 1 backend servers (app 1); store lost: registrations for 400 ms',
      '  s1: added 880 ms before; draining 300 ms before, reported by g2',
      '  s1: 1 of 2 other requests within 2000 ms failed',
    ]);
    t.end();
  });
  t.test('discards the state from before a restart of the gateway', t => {
    const restarted = parseLogs([
      G1_LOG,
      createLogLine(950, 'g1', 'started'),
      createLogLine(960, 'g1', 'request refused', {request: 'r9', refusal: 'not-configured'}),
    ]);
    t.match(explainRequest(restarted.events, 'r9')[1], /configuration unknown/);
    t.notMatch(explainRequest(restarted.events, 'r9')[1], /store lost/);
    t.match(explainRequest(restarted.events, 'r9')[1], /0 backend servers \(none\)/);
    t.end();
  });
  t.test('returns nothing for an id that no log contains', t => {
    t.same(explainRequest(events, 'r0'), []);
    t.end();
  });
  t.end();
});

t.test('summarizeFailures', t => {
  const groups = summarizeFailures(parseLogs([G1_LOG, G2_LOG]).events);
  t.same(
    groups.map(({cause, requests, gateways, servers}) => ({cause, requests, gateways, servers})),
    [
      {
        cause: 'broken-off: backend-failed (read ECONNRESET *)',
        requests: 2,
        gateways: 2,
        servers: 1,
      },
      {
        cause: 'refused before a backend server was chosen: no-key',
        requests: 1,
        gateways: 1,
        servers: 0,
      },
    ],
  );
  t.match(formatFailureGroup(groups[0]), /^2 broken-off.*for example r1$/);
  t.end();
});
