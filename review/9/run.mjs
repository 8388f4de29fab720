/**
 * The operator raises `max_header_bytes`. Consumers that keep their channels send heads within the new limit, well after
 * the change was acknowledged. With TROUBLE=0 the first configuration has the higher limit already.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createConfiguration} from '../common-2/configuration.mjs';
import {Deployment, HAS_TROUBLE, runCase, sleep} from '../common-2/deployment.mjs';

const OLD_MAX_HEADER_BYTES = 16_384;
const NEW_MAX_HEADER_BYTES = 32_768;
const COOKIE_BYTES = 20_000;
const CONSUMERS = 12;
const TIMEOUT_MS = 2_000;
const DEADLINE_MS = 4_000;
/** Beyond `apply_ms`, which is 2,000. */
const AFTER_CHANGE_MS = 3_000;
/** The rule allows 5 and one in 500. */
const ALLOWED_DENIALS = 5;
const ALLOWED_DENIAL_SHARE = 1 / 500;
/** Statuses that the rule leaves out. */
const NOT_DENIED = [408, 421, 429];

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  gateways: 2,
  replicas: [
    {service: 'app', workMs: 40},
    {service: 'app', workMs: 40},
  ],
  configuration: host => getConfiguration(host, HAS_TROUBLE ? OLD_MAX_HEADER_BYTES : NEW_MAX_HEADER_BYTES),
});

function getConfiguration(host, maxHeaderBytes) {
  const configuration = createConfiguration(host, [
    {path_prefix: '/book/', kind: 'unsafe', timeout_ms: TIMEOUT_MS},
  ]);
  return {...configuration, limits: {...configuration.limits, max_header_bytes: maxHeaderBytes}};
}

function book(index, agent, step, headers) {
  const gateway = deployment.gateways[index % deployment.gateways.length];
  const id = `booking-${step}-${index}`;
  return deployment.send({gateway, agent, id, path: '/book/1', body: 'place 7', deadlineMs: DEADLINE_MS, headers});
}

await runCase(deployment, async () => {
  const agents = Array.from({length: CONSUMERS}, () => deployment.openChannel());
  const first = await Promise.all(agents.map((agent, index) => book(index, agent, 'first', {})));
  if (HAS_TROUBLE) {
    const configuration = getConfiguration(deployment.host, NEW_MAX_HEADER_BYTES);
    deployment.store.put('keyed.op', 'config', {...configuration, version: configuration.version + 2});
    deployment.record.write('configuration acknowledged', {maxHeaderBytes: NEW_MAX_HEADER_BYTES});
  }
  await sleep(AFTER_CHANGE_MS);
  const cookie = `s=${'0'.repeat(COOKIE_BYTES)}`;
  const second = await Promise.all(agents.map((agent, index) => book(index, agent, 'second', {cookie})));
  const results = [...first, ...second];
  const denied = results.filter(
    ({status, stamp}) =>
      stamp === undefined && status >= 300 && status < 500 && !NOT_DENIED.includes(status),
  );
  const statuses = [...new Set(denied.map(({status}) => status))];
  const allowed = ALLOWED_DENIALS + results.length * ALLOWED_DENIAL_SHARE;
  const text =
    `${denied.length} of ${results.length} proper bookings were denied with ${statuses.join(', ') || 'nothing'} ` +
    `(allowed: ${Math.floor(allowed)})`;
  return [denied.length > allowed ? 1 : 0, text];
});
