/** Lookup of routes by host and longest prefix, and admission checks on the configuration. */
import t from 'tap';
import {Catalog, RouteTable, type ServingConfiguration} from '../../src/catalog/index.js';
import {checkRequest} from '../../src/exchange/index.js';
import {ROUTE} from '../exchange/exchangeFixtures.js';

const CONFIGURATION: ServingConfiguration = {
  version: 7,
  routes: [
    {...ROUTE, name: 'short', pathPrefix: '/a/'},
    {...ROUTE, name: 'long', pathPrefix: '/a/b/'},
    {...ROUTE, name: 'open', pathPrefix: '/open/', isPublic: true},
  ],
  services: new Map(),
  workspaces: [
    {name: 'w', keys: ['k1', 'k2'], priority: undefined, homeRegions: [], quota: undefined},
  ],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

t.test('RouteTable', t => {
  const table = new RouteTable(CONFIGURATION);
  const doTest = (host: string, path: string, expected: string | undefined) => {
    t.test(`${host}${path}`, t => {
      t.equal(table.getRoute(host, path)?.name, expected);
      t.end();
    });
  };
  doTest('h.example', '/a/1', 'short');
  doTest('h.example', '/a/b/1?x=/a/', 'long');
  doTest('H.Example:8080', '/a/b/', 'long');
  doTest('h.example', '/a', undefined);
  doTest('other.example', '/a/1', undefined);
  t.end();
});

t.test('checkRequest', t => {
  const doTest = (
    name: string,
    prepare: (catalog: Catalog) => void,
    request: {host: string; path: string; key: string | undefined},
    expected: unknown,
    configurationAgeMs = 1_000,
  ) => {
    t.test(name, t => {
      const catalog = new Catalog();
      prepare(catalog);
      const options = {configurationAgeMs, maxConfigurationAgeMs: 4_000};
      t.match(checkRequest(catalog, request, options), expected as object);
      t.end();
    });
  };
  const request = {host: 'h.example', path: '/a/1', key: 'k1'};
  const applyCurrent = (catalog: Catalog) => {
    catalog.applyConfiguration(CONFIGURATION);
  };
  const refused = (kind: string) => ({kind: 'refused', refusal: {kind, isNotRun: true}});
  doTest(
    'a request without a known configuration is refused',
    () => undefined,
    request,
    refused('not-configured'),
  );
  doTest(
    'a newer version of the configuration is applied',
    catalog => {
      applyCurrent(catalog);
      catalog.applyConfiguration({...CONFIGURATION, version: 8});
    },
    request,
    {kind: 'allowed', workspace: {name: 'w'}},
  );
  doTest(
    "keys are rejected if the operators' records are too old",
    applyCurrent,
    request,
    refused('not-current'),
    4_001,
  );
  doTest(
    'an unknown path is refused',
    applyCurrent,
    {...request, path: '/x/'},
    refused('no-route'),
  );
  doTest('an unknown key is refused', applyCurrent, {...request, key: 'k9'}, refused('no-key'));
  doTest('a missing key is refused', applyCurrent, {...request, key: undefined}, refused('no-key'));
  doTest(
    'a public route needs no key',
    applyCurrent,
    {...request, path: '/open/', key: undefined},
    {
      kind: 'allowed',
      workspace: undefined,
    },
  );
  t.test('the same or an older version is not applied', t => {
    const catalog = new Catalog();
    t.ok(catalog.applyConfiguration(CONFIGURATION));
    t.notOk(catalog.applyConfiguration({...CONFIGURATION, version: 6}));
    t.notOk(catalog.applyConfiguration(CONFIGURATION));
    t.end();
  });
  t.end();
});
