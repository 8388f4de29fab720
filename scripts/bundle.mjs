/**
 * Bundles the gateway process, which runs on every instance, into one file, so that it starts fast.
 *
 * Usage, at the root of the repository: node scripts/bundle.mjs [ENTRY [OUTPUT]]
 * ENTRY is a compiled module, target/platform/main.js by default; OUTPUT is target/buckthorn-gateway.mjs by default.
 */
import {build} from 'esbuild';

/**
 * Reduced index modules for packages of which the gateway uses only a few modules. With the packages' own index
 * modules, all other modules would be bundled too and parsed at each start.
 */
const REDUCED_INDEX_MODULES = {
  undici: `
    import Dispatcher from './node_modules/undici/lib/dispatcher/dispatcher.js';
    import api from './node_modules/undici/lib/api/index.js';
    // As in undici's own index module: adds \`request\` and \`stream\` to clients.
    Object.assign(Dispatcher.prototype, api);
    export {default as Client} from './node_modules/undici/lib/dispatcher/client.js';
    export {default as buildConnector} from './node_modules/undici/lib/core/connect.js';`,
  // Without the JSON schemas, and with a single language for messages.
  zod: `
    import {config} from './node_modules/zod/v4/core/core.js';
    import en from './node_modules/zod/v4/locales/en.js';
    config(en());
    export {config};
    export * from './node_modules/zod/v4/classic/schemas.js';
    export * as z from './node_modules/zod/v4/classic/schemas.js';`,
  'prom-client': `
    export {default as Counter} from './node_modules/prom-client/lib/counter.js';
    export {default as Gauge} from './node_modules/prom-client/lib/gauge.js';
    export {default as Histogram} from './node_modules/prom-client/lib/histogram.js';
    export {default as Registry} from './node_modules/prom-client/lib/registry.js';`,
};
const reducedIndexPlugin = {
  name: 'used-modules',
  setup({onResolve, onLoad}) {
    onResolve({filter: /^(undici|prom-client|zod)$/}, ({path}) => ({path, namespace: 'used'}));
    onLoad({filter: /.*/, namespace: 'used'}, ({path}) => ({
      contents: REDUCED_INDEX_MODULES[path],
      resolveDir: process.cwd(),
    }));
  },
};

/**
 * Defines `require` for the CommonJS packages in the bundle, which load Node's built-in modules with it. The logging
 * library also requires optional packages that the gateway doesn't use; they are reported as missing without a search.
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
  plugins: [reducedIndexPlugin],
  // Optional dependencies of the logging library that the gateway doesn't use.
  external: ['dtrace-provider', 'mv', 'moment', 'source-map-support'],
  logLevel: 'warning',
});
