/**
 * Two gateways run, and two more are added. The seeds in the settings of the added ones are stale: no machine has these
 * addresses any more. A replica that starts cold during traffic should get no more requests than it tolerates; it
 * crashes above the bound of the rule. With TROUBLE=0 the seeds of the added gateways are the two that run.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createConfiguration} from '../common-2/configuration.mjs';
import {Deployment, HAS_TROUBLE, runCase, sleep} from '../common-2/deployment.mjs';

const FIRST_GATEWAYS = 2;
const GATEWAYS = 4;
/** As of `veileder-llm` in plassportal.toml, and the bounds there. */
const COLD_MS = 3_000;
const COLD_PER_SECOND = 18;
const COLD_OVERAGE = 1.5;
const COLD_SLACK = 5;
const MAX_ARRIVALS_PER_SECOND = COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK;
const SECOND_MS = 1_000;
const WORK_MS = 40;
const TIMEOUT_MS = 2_000;
const DEADLINE_MS = 4_000;
const CHANNELS_PER_GATEWAY = 4;
/** Pause of each channel between its requests: about 40 requests a second at each gateway. */
const PAUSE_MS = 50;
const TRAFFIC_MS = 6_000;
const COLD_START_AFTER_MS = 1_500;

/** Times at which requests reached the cold replica, and their ids. */
const arrivals = [];
let hasCrashed = false;

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  gateways: GATEWAYS,
  replicas: [
    {service: 'app', workMs: WORK_MS},
    {service: 'app', workMs: WORK_MS, coldMs: COLD_MS, startsLate: true, decideAnswer: noteArrival},
  ],
  getSeeds: (index, addresses, goneAddresses) =>
    HAS_TROUBLE && index >= FIRST_GATEWAYS ? goneAddresses : addresses.slice(0, FIRST_GATEWAYS),
  configuration: host => {
    const configuration = createConfiguration(host, [
      {path_prefix: '/book/', kind: 'unsafe', timeout_ms: TIMEOUT_MS},
    ]);
    const [service] = configuration.services;
    const services = [{...service, cold_start_s: COLD_MS / SECOND_MS, cold_per_s: COLD_PER_SECOND}];
    return {...configuration, services};
  },
});

/** While it is cold, the replica crashes at a rate above the bound of the rule, well above `cold_per_s`. */
function noteArrival(request, id) {
  const [, coldReplica] = deployment.replicas;
  const atMs = Date.now();
  arrivals.push({atMs, id});
  const inLastSecond = arrivals.filter(arrival => arrival.atMs > atMs - SECOND_MS).length;
  if (hasCrashed || atMs >= coldReplica.coldUntilMs || inLastSecond <= MAX_ARRIVALS_PER_SECOND) return;
  hasCrashed = true;
  coldReplica.crash();
}

/** Sends bookings one after the other on one kept channel. */
async function keepBooking(gateway, channel, untilMs) {
  const agent = deployment.openChannel();
  const results = [];
  for (let count = 0; Date.now() < untilMs; count += 1) {
    const id = `booking-${gateway.node}-${channel}-${count}`;
    results.push(
      await deployment.send({gateway, agent, id, path: '/book/1', body: 'place 7', deadlineMs: DEADLINE_MS}),
    );
    await sleep(PAUSE_MS);
  }
  return results;
}

/** Returns the most arrivals in any span of a second that lies within the cold time. */
function getMostPerSecond(coldUntilMs) {
  const cold = arrivals.map(({atMs}) => atMs).filter(atMs => atMs < coldUntilMs);
  const counts = cold.map(
    startMs => cold.filter(atMs => atMs >= startMs && atMs < startMs + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

await runCase(deployment, async () => {
  const untilMs = Date.now() + TRAFFIC_MS;
  const channels = Array.from({length: CHANNELS_PER_GATEWAY}, (_, channel) => channel);
  const traffic = deployment.gateways.flatMap(gateway =>
    channels.map(channel => keepBooking(gateway, channel, untilMs)),
  );
  await sleep(COLD_START_AFTER_MS);
  const [, coldReplica] = deployment.replicas;
  coldReplica.register();
  const results = (await Promise.all(traffic)).flat();
  const most = getMostPerSecond(coldReplica.coldUntilMs);
  const reached = new Set(arrivals.map(({id}) => id));
  const lost = results.filter(({id, status}) => reached.has(id) && status !== 200).length;
  const text =
    `the cold replica got ${most} requests in one second (bound: ${MAX_ARRIVALS_PER_SECOND})` +
    (hasCrashed ? ` and crashed; ${lost} bookings that ran there were lost` : '');
  return [most > MAX_ARRIVALS_PER_SECOND ? 1 : 0, text];
});
