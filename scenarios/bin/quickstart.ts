/** `npm start`: runs the whole system on this machine and sends one request of each kind through it. */
import {randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {LogClient} from '../../src/log/index.js';
import {publishAnswersFile} from '../../src/operator/index.js';
import {waitForStopSignal} from '../../src/utils/index.js';
import {Deployment, type BackendPlan, type DaemonPlan} from '../deployment/index.js';

const FAILURE_DOMAINS = ['ostlandet-a', 'ostlandet-b', 'ostlandet-c', 'ostlandet-d'] as const;
const MACHINE_CLASSES = ['gpu-small', 'gpu-large', 'cpu-small'] as const;
const ANSWERS_PATH = join('examples', 'barnehageplass.answers.yaml');
const DEPLOYMENT_KEY = 'quickstart-deployment-key';
const WORKSPACE_KEY = 'demo-oslo';
const MODEL = 'guidance';
const DAEMONS_PER_ROLE = 3;
const MODEL_SERVERS = 4;
const PLAIN_SERVERS = 2;
const LOG_TIMEOUT_MS = 2_000;
const PUBLISH_TIMEOUT_MS = 6_000;
const READY_TIMEOUT_MS = 10_000;
const POLL_MS = 100;
const CHAT_TOKENS = 12;
const REVIEW_TOKENS = 40;
const REVIEW_PROMPT_WORDS = 3_000;
const BOOKING_BODY = {family: 'family-17', centre: 'centre-3'};

/** Result of one check that the quickstart runs. */
interface Check {
  readonly name: string;
  readonly isPassed: boolean;
  readonly detail: string;
}

async function main(): Promise<void> {
  const exitsAfterChecks = process.argv.includes('--once');
  const deployment = new Deployment({
    backends: planBackends(),
    daemons: [...planDaemons('entry'), ...planDaemons('fleet')],
    deploymentKey: DEPLOYMENT_KEY,
    platformFlags: planPlatformFlags(),
  });
  try {
    print('Starting stand-ins, three entries and three fleet daemons ...');
    await deployment.start();
    const revision = await publishExampleConfiguration(deployment);
    print(`Configuration of ${ANSWERS_PATH} is in force at revision ${revision}.`);
    await waitUntilServing(deployment);
    const checks = await runChecks(deployment.getEntryUrls());
    for (const {name, isPassed, detail} of checks) {
      print(`${isPassed ? 'ok    ' : 'WRONG '} ${name}: ${detail}`);
    }
    if (checks.some(({isPassed}) => !isPassed)) process.exitCode = 1;
    if (!exitsAfterChecks) await printNextStepsAndWait(deployment);
  } finally {
    const killed = await deployment.stop();
    if (killed.length > 0) {
      print(`Not stopped gracefully: ${killed.join(', ')}`);
      process.exitCode = 1;
    }
  }
}

function planBackends(): readonly BackendPlan[] {
  const plan = (kind: BackendPlan['kind'], service: string, count: number) =>
    Array.from({length: count}, (_, i) => ({
      instanceId: `${service}-${i + 1}`,
      kind,
      service,
      version: 'v1',
      failureDomain: FAILURE_DOMAINS[i % FAILURE_DOMAINS.length],
    }));
  return [...plan('engine', MODEL, MODEL_SERVERS), ...plan('plain', 'booking', PLAIN_SERVERS)];
}

/** Returns flags that make the cloud stand-in offer the instances that the example configuration allows. */
function planPlatformFlags(): readonly string[] {
  return [
    ...['--failure-domains', FAILURE_DOMAINS.join(',')],
    ...['--machine-classes', MACHINE_CLASSES.join(',')],
  ];
}

function planDaemons(role: DaemonPlan['role']): readonly DaemonPlan[] {
  return Array.from({length: DAEMONS_PER_ROLE}, (_, i) => ({
    instanceId: `${role}-${i + 1}`,
    role,
    failureDomain: FAILURE_DOMAINS[i % FAILURE_DOMAINS.length],
    flags: ['--log-level', 'warn'],
  }));
}

async function publishExampleConfiguration(deployment: Deployment): Promise<number> {
  const log = new LogClient({
    url: deployment.getPlatformUrlsOrThrow().log,
    timeoutMs: LOG_TIMEOUT_MS,
  });
  try {
    const {revision} = await publishAnswersFile({
      answersPath: ANSWERS_PATH,
      log,
      writer: `quickstart/${randomUUID()}`,
      publishedBy: 'quickstart',
      getNowMs: Date.now,
      timeoutMs: PUBLISH_TIMEOUT_MS,
    });
    return revision;
  } finally {
    await log.close();
  }
}

/** Waits until every entry has a configuration and knows all entries and backend servers. */
async function waitUntilServing(deployment: Deployment): Promise<void> {
  const endAtMs = Date.now() + READY_TIMEOUT_MS;
  for (const url of deployment.getEntryUrls()) {
    while (!(await isServing(url))) {
      if (Date.now() > endAtMs) throw new Error(`${url} did not become ready in time`);
      await sleep(POLL_MS);
    }
  }
}

async function isServing(url: string): Promise<boolean> {
  const response = await request(`${url}/v1/status`, {
    headers: {authorization: `Bearer ${DEPLOYMENT_KEY}`},
  });
  const status = (await response.body.json()) as {
    readonly configurationRevision: number;
    readonly members: readonly unknown[];
    readonly backendServers: readonly unknown[];
  };
  return (
    status.configurationRevision > 0 &&
    status.members.length >= DAEMONS_PER_ROLE &&
    status.backendServers.length >= MODEL_SERVERS + PLAIN_SERVERS
  );
}

async function runChecks(entryUrls: readonly string[]): Promise<readonly Check[]> {
  const [first, second = first] = entryUrls;
  const bookingKey = randomUUID();
  const booking = await sendBooking(first, bookingKey);
  const repeat = await sendBooking(second, bookingKey);
  return [
    await checkAddresses(first),
    await checkStream(first),
    await checkReview(second),
    {
      name: 'booking',
      isPassed: booking.status === 201,
      detail: `${booking.status} ${booking.text}`,
    },
    {
      name: 'repeat of the booking at another entry',
      isPassed: repeat.status === booking.status && repeat.text === booking.text,
      detail: `${repeat.status} ${repeat.text}`,
    },
  ];
}

async function checkAddresses(url: string): Promise<Check> {
  const response = await request(`${url}/v1/addresses?service=${MODEL}`, {headers: getHeaders()});
  const answer = (await response.body.json()) as {
    readonly addresses: readonly {readonly address: string; readonly port: number}[];
  };
  const addressList = answer.addresses.map(({address, port}) => `${address}:${port}`).join(' ');
  return {
    name: 'address look-up',
    isPassed: answer.addresses.length === DAEMONS_PER_ROLE,
    detail: addressList,
  };
}

async function checkStream(url: string): Promise<Check> {
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: getHeaders(),
    body: JSON.stringify({
      model: MODEL,
      stream: true,
      max_tokens: CHAT_TOKENS,
      messages: [{role: 'user', content: 'When does the placement close?'}],
    }),
  });
  const text = await response.body.text();
  const events = text.split('\n').filter(line => line.startsWith('data: '));
  const tokens = events.filter(line => line.includes('"content":"')).length;
  const isPassed = tokens === CHAT_TOKENS && events.at(-1) === 'data: [DONE]';
  return {name: 'streamed chat', isPassed, detail: `${tokens} tokens`};
}

async function checkReview(url: string): Promise<Check> {
  const history = Array.from({length: REVIEW_PROMPT_WORDS}, (_, i) => `entry${i}`).join(' ');
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {...getHeaders(), 'x-request-class': 'review'},
    body: JSON.stringify({
      model: MODEL,
      max_tokens: REVIEW_TOKENS,
      messages: [{role: 'user', content: history}],
    }),
  });
  const answer = (await response.body.json()) as {
    readonly usage?: {readonly completion_tokens: number; readonly prompt_tokens: number};
  };
  const usage = answer.usage;
  return {
    name: 'long review',
    isPassed: usage?.completion_tokens === REVIEW_TOKENS,
    detail: `${usage?.completion_tokens ?? 0} tokens from a prompt of ${usage?.prompt_tokens ?? 0}`,
  };
}

async function sendBooking(url: string, key: string) {
  const response = await request(`${url}/v1/services/booking/bookings`, {
    method: 'POST',
    headers: {...getHeaders(), 'idempotency-key': key},
    body: JSON.stringify(BOOKING_BODY),
  });
  return {status: response.statusCode, text: await response.body.text()};
}

async function printNextStepsAndWait(deployment: Deployment): Promise<void> {
  const [entryUrl] = deployment.getEntryUrls();
  const {log, list} = deployment.getPlatformUrlsOrThrow();
  print(`
The system is running. To send a request as a caller:

  curl -N ${entryUrl}/v1/chat/completions -H 'Authorization: Bearer ${WORKSPACE_KEY}' \\
    -d '{"model": "${MODEL}", "stream": true, "max_tokens": 20, "messages": [{"role": "user", "content": "hello"}]}'

For operators, in another terminal (docs/operators/first-day.md continues from here):

  export BUCKTHORN_LOG_URL=${log} BUCKTHORN_LIST_URL=${list}
  export BUCKTHORN_DEPLOYMENT_KEY=${DEPLOYMENT_KEY}
  node dist/src/bin/buckthornctl.js instances

Stop with Ctrl-C.`);
  await waitForStopSignal();
}

function getHeaders() {
  return {authorization: `Bearer ${WORKSPACE_KEY}`, 'content-type': 'application/json'};
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
