/** Which versions a gateway sends requests to, by the order and the duty holder's steps. */
import t from 'tap';
import {Catalog, type KnownServer} from '../../src/catalog/index.js';
import type {RolloutStep} from '../../src/controllers/moves/index.js';
import {RolloutGate} from '../../src/gateway/RolloutGate.js';
import {silentEvents} from '../../src/logging/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';

const STEP: RolloutStep = {
  service: 'app',
  targetVersion: 'v2',
  phase: 'running',
  sharePercent: 20,
  startedAtMs: 0,
  changedAtMs: 0,
  token: 4,
  number: 9,
};

function createGate(versions: readonly string[] = ['v1', 'v2']) {
  const catalog = new Catalog();
  for (const version of versions) {
    catalog.servers.applyEntry({...createServer(version).entry, softwareVersion: version}, 0);
  }
  catalog.setRollout('app', {
    service: 'app',
    targetVersion: 'v2',
    durationMs: 18_000,
    learnedAtMs: 0,
  });
  return {catalog, gate: new RolloutGate({catalog, events: silentEvents})};
}

/** Returns the versions in the order in which a request tries them. */
function getVersions(
  gate: RolloutGate,
  catalog: Catalog,
  {random = 0, isRetry = false, nowMs = 0},
): readonly string[] {
  const servers: readonly KnownServer[] = catalog.servers.getServers();
  return gate
    .getVersions({service: 'app', isRetry}, random, nowMs)
    .map(isWanted => servers.filter(isWanted))
    .map(wanted => wanted.map(({entry}) => entry.softwareVersion).join('+'));
}

t.test('a gateway without a step sends the target version nothing', t => {
  const {gate, catalog} = createGate();
  t.same(getVersions(gate, catalog, {}), ['v1']);
  t.end();
});

t.test('an order for the only version changes nothing before the first step', t => {
  const {gate, catalog} = createGate(['v2']);
  t.same(getVersions(gate, catalog, {}), ['v2']);
  t.end();
});

t.test('the share holds, a retry does not go around it, and it ends without renewals', t => {
  const {gate, catalog} = createGate();
  gate.applySteps([STEP], 100);
  t.same(getVersions(gate, catalog, {random: 0.19, nowMs: 100}), ['v2', 'v1']);
  t.same(getVersions(gate, catalog, {random: 0.2, nowMs: 100}), ['v1']);
  t.same(getVersions(gate, catalog, {random: 0, isRetry: true, nowMs: 100}), ['v1']);
  gate.applySteps([STEP], 2_000);
  t.same(getVersions(gate, catalog, {nowMs: 2_700}), ['v1'], 'a repetition is no renewal');
  gate.applySteps([{...STEP, number: 10}], 2_700);
  t.same(getVersions(gate, catalog, {nowMs: 2_700}), ['v2', 'v1']);
  gate.applySteps([{...STEP, token: 3, number: 50, sharePercent: 90}], 2_700);
  t.equal(gate.getStep('app', 'v2')?.sharePercent, 20, 'an earlier duty holder is ignored');
  t.end();
});

t.test('a roll-back stays, whatever is heard later', t => {
  const {gate, catalog} = createGate();
  gate.applySteps([{...STEP, phase: 'done', sharePercent: 100}], 0);
  t.same(getVersions(gate, catalog, {random: 0.9}), ['v2', 'v1']);
  gate.applySteps([{...STEP, phase: 'rolled-back', sharePercent: 0}], 0);
  gate.applySteps([{...STEP, token: 9, number: 1}], 0);
  gate.applySteps([{...STEP, token: 9, phase: 'done', sharePercent: 100}], 0);
  t.same(getVersions(gate, catalog, {}), ['v1']);
  catalog.setRollout('app', undefined);
  t.same(getVersions(gate, catalog, {}), ['v1'], 'also without the order');
  t.equal(gate.getStepsToSend(true, 60_000).length, 1, 'it is still told');
  t.equal(gate.getStepsToSend(false, 60_000).length, 0);
  t.end();
});

t.test('servers of two versions are a move until one version is left', t => {
  const {gate, catalog} = createGate();
  t.equal(gate.isMoving('app'), true);
  gate.applySteps([{...STEP, phase: 'rolled-back', sharePercent: 0}], 0);
  t.equal(gate.isMoving('app'), true);
  catalog.servers.removeServer('v2', 0);
  t.equal(gate.isMoving('app'), false);
  t.end();
});
