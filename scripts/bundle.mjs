/**
 * Bundles the process that runs on each machine into one file, so that it starts fast.
 *
 * Usage, in the repository's root: node scripts/bundle.mjs [ENTRY [OUTPUT]]
 */
import {build} from 'esbuild';

/** Packages of which the process uses a few modules only; the others would be parsed at each start. */
const USED_MODULES = {
  undici: `
    import Dispatcher from './node_modules/undici/lib/dispatcher/dispatcher.js';
    import api from './node_modules/undici/lib/api/index.js';
    // As undici's own index does: gives clients \`request\` and \`stream\`.
    Object.assign(Dispatcher.prototype, api);
    export {default as Client} from './node_modules/undici/lib/dispatcher/client.js';
    export {default as buildConnector} from './node_modules/undici/lib/core/connect.js';`,
  'prom-client': `
    export {default as Counter} from './node_modules/prom-client/lib/counter.js';
    export {default as Gauge} from './node_modules/prom-client/lib/gauge.js';
    export {default as Histogram} from './node_modules/prom-client/lib/histogram.js';
    export {default as Registry} from './node_modules/prom-client/lib/registry.js';`,
};
const usedModules = {
  name: 'used-modules',
  setup({onResolve, onLoad}) {
    onResolve({filter: /^(undici|prom-client)$/}, ({path}) => ({path, namespace: 'used'}));
    onLoad({filter: /.*/, namespace: 'used'}, ({path}) => ({
      contents: USED_MODULES[path],
      resolveDir: process.cwd(),
    }));
  },
};

/**
 * CommonJS packages in the bundle ask for Node's own modules by `require`. Optional packages of the logging library, which
 * this process doesn't use, are reported as missing without a search for them.
 */
const REQUIRE_BANNER = `
import {createRequire, isBuiltin} from 'node:module';
const requireBuiltin = createRequire(import.meta.url);
const require = name => {
  if (!isBuiltin(name)) throw new Error('not part of the bundle: ' + name);
  return requireBuiltin(name);
};
`;

const [entry = 'target/platform/main.js', output = 'target/buckthorn-gateway.mjs'] =
  process.argv.slice(2);

await build({
  entryPoints: [entry],
  outfile: output,
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  banner: {js: REQUIRE_BANNER},
  plugins: [usedModules],
  // Optional parts of the logging library that this process doesn't use.
  external: ['dtrace-provider', 'mv', 'moment', 'source-map-support'],
  logLevel: 'warning',
});
