/** Tests that backend servers started by the platform stand-in write ledger files, like those in their own process. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import t from 'tap';
import {request} from 'undici';
import {getLedgerPath, readLedgers} from '../../../scenarios/runner/LedgerReader.js';
import {existsSync} from 'node:fs';
import {waitFor} from '../../support/FleetHarness.js';

const FILE_TIMEOUT_MS = 60_000;
t.setTimeout(FILE_TIMEOUT_MS);

const BINARY = fileURLToPath(
  new URL('../../../standins/bin/buckthorn-standin.js', import.meta.url),
);
const WAIT_MS = 20_000;
const START = {
  clientToken: 'one',
  machineClass: 'standard',
  failureDomain: 'a',
  market: 'reclaimable',
  role: 'backend',
  service: 'booking',
  version: 'v1',
};

interface ReadyLine {
  readonly ports: {readonly cloud: number; readonly list: number};
}

/** Starts the platform and, through it, a backend server; sends the backend server one call and stops the platform. */
async function runPlatform(folder: string, path: string): Promise<void> {
  const args = ['platform', '--ledger-folder', folder, '--start-delay-ms', '10'];
  const child = spawn(process.execPath, [BINARY, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
  try {
    const [line] = (await once(createInterface({input: child.stdout}), 'line')) as [string];
    const {ports} = JSON.parse(line) as ReadyLine;
    const cloud = `http://127.0.0.1:${ports.cloud}/v1/instances`;
    const started = await request(cloud, {method: 'POST', body: JSON.stringify(START)});
    await started.body.dump();
    let port: number | undefined;
    await waitFor(WAIT_MS, async () => {
      const {instances} = (await (await request(cloud)).body.json()) as {
        readonly instances: ReadonlyArray<{readonly port: number}>;
      };
      port = instances[0]?.port;
      return port !== undefined;
    });
    const response = await request(`http://127.0.0.1:${port}${path}`, {method: 'POST', body: '{}'});
    await response.body.dump();
  } finally {
    child.kill('SIGTERM');
    await once(child, 'exit');
  }
}

t.test('buckthorn-standin platform --ledger-folder', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'ledgers-'));
  t.teardown(() => rm(folder, {recursive: true}));
  await runPlatform(folder, '/bookings/first');
  t.ok(
    existsSync(getLedgerPath(folder, 'i-booking-1', 1)),
    'the file name is the one that scenarios expect',
  );
  t.match(await readLedgers(folder), [{instanceId: 'i-booking-1', path: '/bookings/first'}]);
  await runPlatform(folder, '/bookings/second');
  t.same(
    (await readLedgers(folder)).map(({path}) => path),
    ['/bookings/first', '/bookings/second'],
    'a later process keeps the ledger of an earlier one',
  );
});
