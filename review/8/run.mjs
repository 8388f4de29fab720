/**
 * One of two replicas spoils one answer for each gateway: the status in its first line is 000. Bookings that run at
 * sound replicas meanwhile should be answered. With TROUBLE=0 no answer is spoilt.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createConfiguration} from '../common-2/configuration.mjs';
import {Deployment, HAS_TROUBLE, runCase, sleep} from '../common-2/deployment.mjs';

/** Answers before the spoilt ones, so that these stay below one in fifty of their replica's. */
const EARLIER_LOOKUPS = 360;
const PARALLEL_LOOKUPS = 6;
/** Rounds in which the faulty replica is sought, all within the time of a booking. */
const MAX_ROUNDS = 4;
const ROUND_MS = 60;
const BOOKINGS_PER_GATEWAY = 10;
const BOOKING_MS = 600;
const TIMEOUT_MS = 1_000;
const DEADLINE_MS = 4_000;
/** An answer that is later than the timeout by more counts as none. */
const TIMEOUT_SLACK_MS = 500;
const MAX_SHARE_WITHOUT_ANSWER = 0.5;
const SPOILT_ANSWER = 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok';

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  gateways: 2,
  replicas: [
    {service: 'app', workMs: BOOKING_MS, decideAnswer: decideFaultyAnswer},
    {service: 'app', workMs: BOOKING_MS, decideAnswer},
  ],
  configuration: host =>
    createConfiguration(host, [
      {path_prefix: '/book/', kind: 'unsafe', timeout_ms: TIMEOUT_MS},
      {path_prefix: '/look/', kind: 'safe', timeout_ms: TIMEOUT_MS},
    ]),
});

/** Nodes of the gateways that have got a spoilt answer. */
const spoiltFor = new Set();

function decideAnswer(request, requestId) {
  return requestId.startsWith('look-') ? {workMs: 10} : undefined;
}

function decideFaultyAnswer(request, requestId) {
  const node = /^look-last-(edge-\d+)/.exec(requestId)?.[1];
  if (!HAS_TROUBLE || node === undefined || spoiltFor.has(node)) return decideAnswer(request, requestId);
  spoiltFor.add(node);
  return {workMs: 10, raw: SPOILT_ANSWER};
}

function lookUp(gateway, agent, id) {
  return deployment.send({gateway, agent, id, method: 'GET', path: '/look/1', deadlineMs: DEADLINE_MS});
}

async function sendEarlierLookups() {
  let count = 0;
  const work = async index => {
    const gateway = deployment.gateways[index % deployment.gateways.length];
    const agent = deployment.openChannel();
    while (count < EARLIER_LOOKUPS) {
      count += 1;
      await lookUp(gateway, agent, `look-${count}`);
    }
  };
  await Promise.all(Array.from({length: PARALLEL_LOOKUPS}, (_, index) => work(index)));
}

function sendBookings(gateway) {
  return Array.from({length: BOOKINGS_PER_GATEWAY}, (_, index) =>
    deployment.send({
      gateway,
      agent: deployment.openChannel(),
      id: `booking-${gateway.node}-${index}`,
      path: '/book/1',
      body: 'place 7',
      deadlineMs: DEADLINE_MS,
    }),
  );
}

/** Looks things up until the faulty replica has spoilt an answer, which it does with the first that reaches it. */
async function meetFaultyReplica(gateway) {
  for (let round = 0; round < MAX_ROUNDS && !spoiltFor.has(gateway.node); round += 1) {
    const lookups = Array.from({length: PARALLEL_LOOKUPS}, (_, index) =>
      lookUp(gateway, deployment.openChannel(), `look-last-${gateway.node}-${round}-${index}`),
    );
    await Promise.race([Promise.all(lookups), sleep(ROUND_MS)]);
  }
}

await runCase(deployment, async () => {
  await sendEarlierLookups();
  await sleep(500);
  const bookings = deployment.gateways.flatMap(sendBookings);
  await sleep(150);
  await Promise.all(deployment.gateways.map(meetFaultyReplica));
  const results = await Promise.all(bookings);
  if (HAS_TROUBLE && spoiltFor.size < deployment.gateways.length) {
    throw new Error('the faulty replica was not met');
  }
  // What the clients left at their deadlines was never answered.
  const late = results.filter(({kind, tookMs}) => kind !== 'answer' || tookMs > TIMEOUT_MS);
  const without = late.filter(
    ({kind, tookMs}) => kind !== 'answer' || tookMs > TIMEOUT_MS + TIMEOUT_SLACK_MS,
  );
  const answered = new Set(deployment.replicas.flatMap(({runs}) => runs));
  const lost = without.filter(({id, kind}) => answered.has(id) && kind !== 'answer');
  const text =
    `${late.length} of ${results.length} bookings were unanswered at the timeout of their route, ${without.length} of them ` +
    `still ${TIMEOUT_SLACK_MS} ms later; ${lost.length} that ran were never answered within ${DEADLINE_MS} ms`;
  const isBroken = without.length > late.length * MAX_SHARE_WITHOUT_ANSWER;
  return [isBroken ? 1 : 0, text];
});
