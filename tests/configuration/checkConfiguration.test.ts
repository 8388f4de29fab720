/** Tests that the check of a configuration finds each kind of problem, and none in a valid configuration. */
import t from 'tap';
import {
  checkConfiguration,
  type Configuration,
  type Service,
} from '../../src/configuration/index.js';
import {createConfiguration} from '../support/configurations.js';

const NOW_MS = 1_000_000;
const VALID = createConfiguration('test');
const [MODEL] = VALID.services as [Service];
const [WORKSPACE] = VALID.workspaces as [Configuration['workspaces'][number]];
const [CHAT] = VALID.requestClasses as [Configuration['requestClasses'][number]];
const PLAIN: Service = {
  ...MODEL,
  name: 'booking',
  kind: 'plain',
  routes: [
    {methods: ['POST'], pathPrefix: '/bookings', isIdempotent: false},
    {methods: ['GET', 'HEAD'], pathPrefix: '/', isIdempotent: true},
  ],
};

/** Returns the findings as lines that start with severity and kind. */
function check(value: unknown): readonly string[] {
  return checkConfiguration(value, NOW_MS).findings.map(
    ({severity, kind, path, message}) => `${severity} ${kind} ${path}: ${message}`,
  );
}

function withServices(...services: readonly Service[]): Configuration {
  return {...VALID, services: [...services]};
}

function withPlain(change: Partial<Service>): Configuration {
  return withServices(MODEL, {...PLAIN, ...change});
}

function doTest(name: string, value: unknown, expected: readonly RegExp[]) {
  t.test(name, t => {
    const lines = check(value);
    t.equal(lines.length, expected.length, lines.join('\n'));
    expected.forEach((pattern, index) => t.match(lines[index], pattern));
    t.end();
  });
}

doTest('finds nothing in a valid configuration', withServices(MODEL, PLAIN), []);

doTest(
  'names value and allowed values that the schema rejects, with list items by name',
  withServices({...MODEL, kind: 'other' as 'model', targetReplicas: -1}),
  [
    /^error schema services\.guidance\.kind: "other": .*"model"\|"plain"/,
    /^error schema services\.guidance\.targetReplicas: -1: .*>=0/,
  ],
);
doTest('names a missing field', {...VALID, deployment: undefined}, [
  /^error schema deployment: missing: /,
]);
doTest(
  'names the allowed fields beside one that is misspelt',
  {...VALID, workspaces: [{...WORKSPACE, maxOpenRequest: 5}]},
  [/^error schema workspaces\.w\.maxOpenRequest: .*shareWeight, maxOpenRequests$/],
);
doTest('reports a value that is no object', 5, [/^error schema configuration: 5: /]);

t.test('does not show a bearer key that was entered instead of its hash', t => {
  const workspaces = [{...WORKSPACE, keys: [{sha256: 'secret-key'}]}];
  const lines = check({...VALID, workspaces});
  t.match(lines[0], /^error schema workspaces\.w\.keys\.0\.sha256: the given value: must be 64/);
  t.notMatch(lines.join('\n'), 'secret-key');
  t.end();
});

doTest(
  'finds a workspace of a service that does not exist',
  withServices({...MODEL, workspaces: ['w', 'bergen']}),
  [
    /^error unknown-reference services\.guidance\.workspaces: "bergen" is not among the workspaces: w$/,
  ],
);

doTest(
  'finds names that are listed twice',
  {
    ...VALID,
    failureDomains: [...VALID.failureDomains, ...VALID.failureDomains],
    workspaces: [WORKSPACE, {...WORKSPACE, keys: [{sha256: 'b'.repeat(64)}]}],
    requestClasses: [CHAT, CHAT],
    services: [MODEL, MODEL],
    priceLimits: [
      {machineClass: 'gpu', maxPriceUsdPerHour: 1},
      {machineClass: 'gpu', maxPriceUsdPerHour: 2},
    ],
  },
  [
    /^error duplicate failureDomains\.fd-a:/,
    /^error duplicate workspaces\.w:/,
    /^error duplicate requestClasses\.chat:/,
    /^error duplicate services\.guidance:/,
    /^error duplicate priceLimits\.gpu:/,
  ],
);
doTest(
  'finds a version that is listed twice',
  withServices({
    ...MODEL,
    versions: [
      {name: 'v1', sharePercent: 50},
      {name: 'v1', sharePercent: 50},
    ],
  }),
  [/^error duplicate services\.guidance\.versions\.v1:/],
);
doTest(
  'finds a key of two workspaces',
  {...VALID, workspaces: [WORKSPACE, {...WORKSPACE, name: 'x'}]},
  [/^error duplicate workspaces\.x\.keys\.a{64}: .*workspaces w, x/],
);
doTest(
  'warns of a workspace that a service lists twice',
  withServices({...MODEL, workspaces: ['w', 'w']}),
  [/^warning duplicate services\.guidance\.workspaces: "w"/],
);
doTest(
  'finds a route that an earlier one hides',
  withPlain({
    routes: [...PLAIN.routes, {methods: ['GET'], pathPrefix: '/', isIdempotent: true}],
  }),
  [/^error duplicate services\.booking\.routes\.GET \/: .*\(isIdempotent true\) hides/],
);

doTest(
  'finds a workspace whose keys have all expired',
  {...VALID, workspaces: [{...WORKSPACE, keys: [{sha256: 'a'.repeat(64), notAfterMs: NOW_MS}]}]},
  [/^error never-matches workspaces\.w\.keys: /],
);
doTest(
  'warns of one expired key',
  {
    ...VALID,
    workspaces: [
      {
        ...WORKSPACE,
        keys: [
          {sha256: 'a'.repeat(64), notAfterMs: NOW_MS - 1},
          {sha256: 'b'.repeat(64), notAfterMs: NOW_MS + 1},
        ],
      },
    ],
  },
  [
    /^warning never-matches workspaces\.w\.keys\.a{64}: notAfterMs 999999 \(1970-01-01T00:16:39\.999Z\) has passed/,
  ],
);
doTest(
  'warns of a service that no workspace may use, and of the workspace without a service',
  withServices({...MODEL, workspaces: []}),
  [
    /^warning never-matches workspaces\.w: no service/,
    /^warning never-matches services\.guidance\.workspaces: is an empty list/,
  ],
);
doTest('warns of request classes without a model service', withServices(PLAIN), [
  /^warning never-matches requestClasses\.chat: no service is of kind "model"/,
]);
doTest(
  'warns of a class that an earlier one with the same limit hides',
  {...VALID, requestClasses: [CHAT, {...CHAT, name: 'batch'}]},
  [/^warning never-matches requestClasses\.batch\.maxPromptTokens: 1000 is also .*"chat"/],
);
doTest(
  'warns of a version without requests',
  withServices({...MODEL, versions: [...MODEL.versions, {name: 'v2', sharePercent: 0}]}),
  [/^warning never-matches services\.guidance\.versions\.v2\.sharePercent: 0 percent/],
);
doTest('warns of a plain service without routes', withPlain({routes: []}), [
  /^warning never-matches services\.booking\.routes: /,
]);
doTest('warns of routes of a model service', withServices({...MODEL, routes: PLAIN.routes}), [
  /^warning never-matches services\.guidance\.routes: .* are ignored/,
]);
doTest(
  'warns of prefixes that no normalized path has, and of a method that servers reject',
  withPlain({
    routes: [
      {methods: ['GET'], pathPrefix: '/a b', isIdempotent: true},
      {methods: ['GET'], pathPrefix: '/a/../b', isIdempotent: true},
      {methods: ['GET'], pathPrefix: '/a#b', isIdempotent: true},
      {methods: ['GET'], pathPrefix: '/a?b=', isIdempotent: true},
      {methods: ['GETS'], pathPrefix: '/b', isIdempotent: true},
    ],
  }),
  [
    /^warning never-matches services\.booking\.routes\.GET \/a b: /,
    /^warning never-matches services\.booking\.routes\.GET \/a\/\.\.\/b: /,
    /^warning never-matches services\.booking\.routes\.GET \/a#b: /,
    /^warning never-matches services\.booking\.routes\.GETS \/b: "GETS"/,
  ],
);

doTest(
  'finds shares that do not add up to 100',
  withServices({...MODEL, versions: [{name: 'v1', sharePercent: 90}]}),
  [/^error contradiction services\.guidance\.versions: .* 90 percent/],
);
doTest(
  'finds a cold limit above the warm one',
  withServices({...MODEL, coldConcurrentRequests: 9}),
  [/^error contradiction services\.guidance\.coldConcurrentRequests: 9 exceeds .*\(8\)/],
);
doTest(
  'finds a single server with several failure domains',
  {...VALID, failureDomains: [...VALID.failureDomains, {name: 'fd-b', region: 'region-a'}]},
  [/^error contradiction services\.guidance\.targetReplicas: 1 is too few for 2/],
);
doTest('warns of a service without servers', withServices({...MODEL, targetReplicas: 0}), [
  /^warning contradiction services\.guidance\.targetReplicas: 0: /,
]);
doTest(
  'finds a timeout before the first token is due',
  withServices({...MODEL, requestTimeoutMs: 1_300}),
  [/^error contradiction services\.guidance\.requestTimeoutMs: 1300 .*"chat" \(1300\)/],
);
doTest(
  'warns of a timeout before the second token is due',
  withServices({...MODEL, requestTimeoutMs: 1_352}),
  [/^warning contradiction services\.guidance\.requestTimeoutMs: 1352 .* 1300 .* 52$/],
);
doTest('ignores latency targets for plain services', withPlain({requestTimeoutMs: 100}), []);
doTest(
  'finds a read-only method of a route that is not idempotent',
  withPlain({routes: [{methods: ['GET', 'POST'], pathPrefix: '/', isIdempotent: false}]}),
  [/^error contradiction services\.booking\.routes\.GET\+POST \/: .* GET only read/],
);
