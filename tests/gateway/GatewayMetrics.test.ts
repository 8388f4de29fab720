/** The documentation lists exactly the metrics that a gateway exports. */
import {readFileSync} from 'node:fs';
import t from 'tap';
import {Catalog} from '../../src/catalog/index.js';
import type {RolloutStep} from '../../src/controllers/moves/index.js';
import {RolloutGate} from '../../src/gateway/RolloutGate.js';
import {GatewayMetrics} from '../../src/gateway/index.js';
import {silentEvents} from '../../src/logging/index.js';

t.test('docs/OPERATIONS.md lists every metric and no others', async t => {
  const metrics = new GatewayMetrics();
  metrics.setGauges(() => ({
    openRequests: 0,
    configurationVersion: 0,
    configurationAgeMs: 0,
    registrationsAgeMs: 0,
    isCutOff: false,
    gatewaysHeard: 0,
    gatewaysKnown: 0,
    backendServers: 0,
    dutyToken: 0,
    quarantines: 0,
    isDutyHolder: false,
    droppedLogLines: 0,
    leftOutLogLines: 0,
    waitingRequests: new Map([['app', 5]]),
    gossip: {sentDatagrams: 1, sentBytes: 2, receivedDatagrams: 3, receivedBytes: 4},
    factors: [{service: 'llm', min: 0.7, median: 1, max: 1.75, ageMs: 40}],
  }));
  metrics.setCallerGauges(() => ({incomingBytes: 0, connections: 0}));
  const text = await metrics.getText();
  const exported = [...text.matchAll(/^# HELP (\S+)/gm)].map(([, name]) => name);
  const page = readFileSync('docs/OPERATIONS.md', 'utf8');
  const documented = [...page.matchAll(/`(buckthorn_\w+)/g)].map(([, name]) => name);
  t.same([...new Set(exported)].sort(), [...new Set(documented)].sort());
});

t.test('the verdict of a roll-out is counted once, and its share shows', async t => {
  const catalog = new Catalog();
  const metrics = new GatewayMetrics();
  const gate = new RolloutGate({
    catalog,
    events: silentEvents,
    onStep: step => metrics.addRolloutStep(step),
  });
  const step: RolloutStep = {
    service: 'app',
    targetVersion: 'v2',
    phase: 'running',
    sharePercent: 8,
    startedAtMs: 0,
    changedAtMs: 0,
    token: 1,
    number: 1,
  };
  gate.applySteps([step, {...step, number: 2}], 0);
  t.match(await metrics.getText(), /rollout_share_percent\{service="app",version="v2"\} 8\n/);
  const ended: RolloutStep = {...step, phase: 'rolled-back', sharePercent: 0, number: 3};
  gate.applySteps([ended], 0);
  gate.applySteps([{...ended, number: 4}], 0);
  const text = await metrics.getText();
  t.match(text, /rollout_share_percent\{service="app",version="v2"\} 0\n/);
  t.match(text, /rollout_verdicts_total\{[^}]*verdict="rolled-back"\} 1\n/);
});
