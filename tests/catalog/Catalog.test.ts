/** Whether a gateway's configuration is outdated, by what other gateways tell. */
import t from 'tap';
import {Catalog} from '../../src/catalog/index.js';

function createCatalog(version: number): Catalog {
  const catalog = new Catalog();
  apply(catalog, version);
  return catalog;
}

function apply(catalog: Catalog, version: number): void {
  catalog.applyConfiguration({
    version,
    routes: [],
    services: new Map(),
    workspaces: [],
    limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  });
}

t.test('a restarted gateway does not serve an older configuration of a restored store', t => {
  const catalog = createCatalog(8);
  t.equal(catalog.isConfigurationOutdated(0), false);
  catalog.applyReportedVersion(14, 0);
  t.equal(catalog.isConfigurationOutdated(0), true);
  apply(catalog, 14);
  t.equal(catalog.isConfigurationOutdated(0), false);
  t.end();
});

t.test('a gateway has time to read a configuration that another one tells of', t => {
  const catalog = createCatalog(8);
  apply(catalog, 9);
  catalog.applyReportedVersion(10, 1_000);
  t.equal(catalog.isConfigurationOutdated(2_400), false);
  t.equal(catalog.isConfigurationOutdated(2_600), true);
  t.end();
});
