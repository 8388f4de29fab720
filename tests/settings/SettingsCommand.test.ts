/** Tests that invalid settings produce a one-line error message and exit status 2. */
import {spawnSync} from 'node:child_process';
import {join} from 'node:path';
import t from 'tap';

const ENTRY = join('dist', 'src', 'bin', 'buckthorn-entry.js');
const REQUIRED_ARGS = [
  ...['--instance-id', 'a', '--failure-domain', 'b'],
  ...['--list-url', 'http://127.0.0.1:1', '--deployment-keys', '0123456789abcdef'],
];
const LOG_URL_ARGS = ['--log-url', 'http://127.0.0.1:1'];

t.test('runCommandLine', t => {
  function doTest(name: string, args: readonly string[], expectedLine: string) {
    t.test(name, t => {
      const {status, stderr} = spawnSync(process.execPath, [ENTRY, ...args], {encoding: 'utf8'});
      t.equal(stderr, `${expectedLine}\n`);
      t.equal(status, 2);
      t.end();
    });
  }

  doTest('names a missing setting', REQUIRED_ARGS, '--log-url (BUCKTHORN_LOG_URL) is missing');
  doTest(
    'names an invalid value',
    [...REQUIRED_ARGS, '--log-url', 'http://log:1'],
    '--log-url (BUCKTHORN_LOG_URL): "http://log:1" has the host name "log" instead of an IP address',
  );
  doTest(
    'does not print a secret value',
    [...LOG_URL_ARGS, ...REQUIRED_ARGS.slice(0, -1), 'short'],
    '--deployment-keys (BUCKTHORN_DEPLOYMENT_KEYS): the given value has a key of fewer than 16 characters',
  );
  doTest(
    'names settings that contradict each other',
    [...REQUIRED_ARGS, ...LOG_URL_ARGS, '--port', '81', '--peer-port', '81'],
    '--port (BUCKTHORN_PORT) and --peer-port (BUCKTHORN_PEER_PORT) are both 81',
  );
  doTest(
    'names an unknown flag',
    [...REQUIRED_ARGS, ...LOG_URL_ARGS, '--nonsense', '3'],
    '--nonsense: Unknown arguments (see --help)',
  );
  t.end();
});
