/** Bundles the process that runs on each machine into one file, so that it starts fast. Usage: node scripts/bundle.mjs */
import {build} from 'esbuild';

/** CommonJS packages in the bundle ask for Node's own modules by `require`. */
const REQUIRE_BANNER =
  "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);";

await build({
  entryPoints: ['target/platform/main.js'],
  outfile: 'target/buckthorn-gateway.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  banner: {js: REQUIRE_BANNER},
  // Optional parts of the logging library that this process doesn't use.
  external: ['dtrace-provider', 'mv', 'moment', 'source-map-support'],
  logLevel: 'warning',
});
