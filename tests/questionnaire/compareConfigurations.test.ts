/** Tests that changes between two configurations are reported by path. */
import t from 'tap';
import type {Configuration} from '../../src/configuration/index.js';
import {
  compareConfigurations,
  formatChange,
  generateConfiguration,
  readAnswersFile,
} from '../../src/questionnaire/index.js';

const {configuration: EXAMPLE} = generateConfiguration(
  await readAnswersFile('examples/barnehageplass.answers.yaml', 0),
  {inForce: undefined, createKey: () => 'key'},
);

t.test('compareConfigurations', t => {
  function doTest(name: string, after: Configuration, expectedLines: readonly string[]) {
    t.test(name, t => {
      t.same(compareConfigurations(EXAMPLE, after).map(formatChange), expectedLines);
      t.end();
    });
  }

  doTest('finds no change in equal configurations', structuredClone(EXAMPLE), []);
  doTest('reports a changed value', {...EXAMPLE, staleConfigurationGraceMs: 5_000}, [
    '~ staleConfigurationGraceMs: 10000 -> 5000',
  ]);
  doTest(
    'reports an inserted item without changes to the later ones',
    {
      ...EXAMPLE,
      failureDomains: [{name: 'new', region: 'ostlandet'}, ...EXAMPLE.failureDomains],
    },
    ['+ failureDomains.new.name: new', '+ failureDomains.new.region: ostlandet'],
  );
  doTest('reports removed values', {...EXAMPLE, priceLimits: EXAMPLE.priceLimits.slice(1)}, [
    '- priceLimits.gpu-small.machineClass: gpu-small',
    '- priceLimits.gpu-small.maxPriceUsdPerHour: 1.2',
  ]);
  t.end();
});
