/** Measures the latency that an entry adds: to plain calls, compared with direct calls, and to 200 concurrent streams. */
import {Agent, request} from 'undici';
import type {Service} from '../../src/configuration/index.js';
import type {BackendPlan} from '../../scenarios/deployment/index.js';
import {BENCH_KEY, BenchDeployment} from './BenchDeployment.js';
import {runOpenLoop} from './OpenLoop.js';
import {summarize, type DurationSummary} from './Percentiles.js';

/** Failures and durations of one series of calls. */
export interface SeriesResult {
  readonly series: string;
  readonly failed: number;
  readonly durations: DurationSummary;
}

const RATE_PER_SECOND = 1_000;
const DURATION_MS = 10_000;
const WARM_UP_MS = 3_000;
const SERVICE_TIME_MS = 5;
const STREAMS = 200;
const STREAM_TOKENS = 100;
const MAX_CONNECTIONS = 256;

const BASE_SERVICE: Omit<Service, 'name' | 'kind' | 'routes'> = {
  versions: [{name: 'v1', sharePercent: 100}],
  targetReplicas: 1,
  maxConcurrentRequests: 400,
  coldConcurrentRequests: 400,
  requestTimeoutMs: 30_000,
  honoursFencingTokens: true,
};

/**
 * Measures calls to a plain service at 1,000 a second: direct, through the entry, and direct again. The second direct series
 * shows how much the machine's speed changed in the meantime.
 */
export async function measureCalls(): Promise<readonly SeriesResult[]> {
  const routes = [{methods: ['GET'], pathPrefix: '/', isIdempotent: true}];
  const service: Service = {...BASE_SERVICE, name: 'lookup', kind: 'plain', routes};
  const flags = ['--service-time-ms', String(SERVICE_TIME_MS)];
  const deployment = new BenchDeployment(service, [plan('plain-1', 'plain', 'lookup', flags)]);
  await deployment.start();
  try {
    const direct = `${deployment.getUrl('plain-1')}/records/7`;
    const through = `${deployment.getUrl('entry-1')}/v1/services/lookup/records/7`;
    await measureSeries('warm-up direct', direct, WARM_UP_MS);
    await measureSeries('warm-up through the entry', through, WARM_UP_MS);
    const results = [];
    results.push(await measureSeries('direct', direct, DURATION_MS));
    results.push(await measureSeries('through the entry', through, DURATION_MS));
    results.push(await measureSeries('direct again', direct, DURATION_MS));
    return results;
  } finally {
    await deployment.stop();
  }
}

/** Measures 200 concurrent streams through the entry, and the time that their requests were queued at the entry. */
export async function measureStreams(): Promise<readonly SeriesResult[]> {
  const service: Service = {...BASE_SERVICE, name: 'guidance', kind: 'model', routes: []};
  const engines = Array.from({length: 4}, (unused, index) =>
    plan(`engine-${index + 1}`, 'engine', 'guidance', ['--max-batch-requests', '64']),
  );
  const deployment = new BenchDeployment(service, engines);
  await deployment.start();
  try {
    const url = deployment.getUrl('entry-1');
    const firstTokensMs: number[] = [];
    const interTokensMs: number[] = [];
    const results = await Promise.allSettled(
      Array.from({length: STREAMS}, (unused, index) =>
        readStream(url, index, firstTokensMs, interTokensMs),
      ),
    );
    const failed = results.filter(({status}) => status === 'rejected').length;
    const queued = (await deployment.getMetrics()).find(({name}) => name === 'request.queued');
    const {count = 0, p50 = NaN, p95 = NaN, p99 = NaN} = queued ?? {};
    return [
      {series: 'first token of 200 streams', failed, durations: summarize(firstTokensMs)},
      {series: 'between tokens', failed, durations: summarize(interTokensMs)},
      {
        series: 'waited at the entry before the first try',
        failed,
        durations: {count, p50Ms: p50, p95Ms: p95, p99Ms: p99},
      },
    ];
  } finally {
    await deployment.stop();
  }
}

function plan(
  instanceId: string,
  kind: BackendPlan['kind'],
  service: string,
  flags: readonly string[],
): BackendPlan {
  return {instanceId, kind, service, version: 'v1', failureDomain: 'a', flags};
}

async function measureSeries(
  series: string,
  url: string,
  durationMs: number,
): Promise<SeriesResult> {
  const dispatcher = new Agent({connections: MAX_CONNECTIONS, pipelining: 1});
  const headers = {authorization: `Bearer ${BENCH_KEY}`};
  const durationsMs: number[] = [];
  const failed = await runOpenLoop({
    ratePerSecond: RATE_PER_SECOND,
    durationMs,
    call: async () => {
      const startMs = performance.now();
      const response = await request(url, {dispatcher, headers});
      await response.body.dump();
      if (response.statusCode >= 400) throw new Error(`status ${response.statusCode}`);
      durationsMs.push(performance.now() - startMs);
    },
  });
  await dispatcher.close();
  return {series, failed, durations: summarize(durationsMs)};
}

async function readStream(
  url: string,
  index: number,
  firstTokensMs: number[],
  interTokensMs: number[],
): Promise<void> {
  const startMs = performance.now();
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${BENCH_KEY}`, 'content-type': 'application/json'},
    body: JSON.stringify({
      model: 'guidance',
      stream: true,
      max_tokens: STREAM_TOKENS,
      messages: [{role: 'user', content: `question ${index} about a place`}],
    }),
    bodyTimeout: 0,
  });
  let previousMs: number | undefined;
  let tokens = 0;
  for await (const bytes of response.body) {
    const count = String(bytes).split('"content":"').length - 1;
    if (count === 0) continue;
    const nowMs = performance.now();
    if (previousMs === undefined) firstTokensMs.push(nowMs - startMs);
    else interTokensMs.push((nowMs - previousMs) / count);
    previousMs = nowMs;
    tokens += count;
  }
  if (response.statusCode !== 200 || tokens !== STREAM_TOKENS) {
    throw new Error(`status ${response.statusCode}, received ${tokens} tokens`);
  }
}
