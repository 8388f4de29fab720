/** Tests whether an entry may accept new requests while it can't confirm its configuration. */
import t from 'tap';
import {
  decideConfigurationCurrency,
  type ConfigurationCurrency,
  type ConfigurationCurrencyView,
  type PeerProbeResult,
} from '../../../src/controllers/configuration/index.js';

const NOW_MS = 1_000_000;
const GRACE_MS = 30_000;

function createProbeResult(change: Partial<PeerProbeResult> = {}): PeerProbeResult {
  const result = {instanceId: 'e1', askedAtMs: NOW_MS - 1_000, isAnswered: true};
  return {...result, configurationRevision: 3, logReadAtMs: NOW_MS - 60_000, ...change};
}

t.test('decideConfigurationCurrency', t => {
  function doTest(
    name: string,
    change: Partial<ConfigurationCurrencyView>,
    expected: ConfigurationCurrency,
    mayAcceptWork: boolean,
  ) {
    t.test(name, t => {
      const view = {
        revision: 3,
        confirmedAtMs: NOW_MS - GRACE_MS - 1,
        staleConfigurationGraceMs: GRACE_MS,
        hasPeers: true,
        probeResults: [],
        ...change,
      };
      t.same(decideConfigurationCurrency(view, NOW_MS), {mayAcceptWork, currency: expected});
      t.end();
    });
  }

  const failed = createProbeResult({isAnswered: false});
  doTest('refuses without a configuration', {revision: 0}, 'no-configuration', false);
  doTest('accepts within the grace time', {confirmedAtMs: NOW_MS - GRACE_MS}, 'current', true);
  doTest('refuses if no peer responds', {probeResults: [failed]}, 'cut-off', false);
  doTest('refuses without recent probes', {}, 'cut-off', false);
  doTest(
    'refuses if less than half of the peers respond',
    {probeResults: [createProbeResult(), failed, failed]},
    'cut-off',
    false,
  );
  doTest(
    'accepts if the peers can not read the log either',
    {probeResults: [createProbeResult()]},
    'outage-everywhere',
    true,
  );
  doTest('accepts if there are no peers', {hasPeers: false}, 'outage-everywhere', true);
  doTest(
    'refuses if a peer has a newer revision',
    {probeResults: [createProbeResult({configurationRevision: 4})]},
    'behind-peers',
    false,
  );
  t.end();
});
