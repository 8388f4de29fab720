/** The documentation lists exactly the metrics that a gateway exports. */
import {readFileSync} from 'node:fs';
import t from 'tap';
import {GatewayMetrics} from '../../src/gateway/index.js';

t.test('docs/OPERATIONS.md lists every metric and no others', async t => {
  const metrics = new GatewayMetrics();
  metrics.setGauges(() => ({
    openRequests: 0,
    configurationVersion: 0,
    configurationAgeMs: 0,
    registrationsAgeMs: 0,
    gatewaysHeard: 0,
    gatewaysKnown: 0,
    backendServers: 0,
    dutyToken: 0,
    quarantines: 0,
    isDutyHolder: false,
    droppedLogLines: 0,
    leftOutLogLines: 0,
    gossip: {sentDatagrams: 1, sentBytes: 2, receivedDatagrams: 3, receivedBytes: 4},
  }));
  const text = await metrics.getText();
  const exported = [...text.matchAll(/^# HELP (\S+)/gm)].map(([, name]) => name);
  const page = readFileSync('docs/OPERATIONS.md', 'utf8');
  const documented = [...page.matchAll(/`(buckthorn_\w+)/g)].map(([, name]) => name);
  t.same([...new Set(exported)].sort(), [...new Set(documented)].sort());
});
