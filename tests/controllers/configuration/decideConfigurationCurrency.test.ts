/** Tests of the decision whether an entry may accept new work. */
import t from 'tap';
import {
  decideConfigurationCurrency,
  type ConfigurationCurrency,
  type ConfigurationCurrencyView,
  type PeerReading,
} from '../../../src/controllers/configuration/index.js';

const NOW_MS = 1_000_000;
const GRACE_MS = 30_000;

function read(change: Partial<PeerReading> = {}): PeerReading {
  const reading = {instanceId: 'e1', askedAtMs: NOW_MS - 1_000, isAnswered: true};
  return {...reading, configurationRevision: 3, logReadAtMs: NOW_MS - 60_000, ...change};
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
        readings: [],
        ...change,
      };
      t.same(decideConfigurationCurrency(view, NOW_MS), {mayAcceptWork, currency: expected});
      t.end();
    });
  }

  const silent = read({isAnswered: false});
  doTest('refuses without a configuration', {revision: 0}, 'no-configuration', false);
  doTest('accepts within the grace', {confirmedAtMs: NOW_MS - GRACE_MS}, 'current', true);
  doTest('refuses where no peer was reached', {readings: [silent]}, 'cut-off', false);
  doTest('refuses after a pause with old probes', {}, 'cut-off', false);
  doTest('refuses where few peers answer', {readings: [read(), silent, silent]}, 'cut-off', false);
  doTest('goes on where peers lack the log too', {readings: [read()]}, 'outage-everywhere', true);
  doTest('goes on alone', {hasPeers: false}, 'outage-everywhere', true);
  doTest(
    'refuses behind a peer',
    {readings: [read({configurationRevision: 4})]},
    'behind-peers',
    false,
  );
  t.end();
});
