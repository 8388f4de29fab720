/** Sends the arrivals of a plan when they are due, whatever becomes of the earlier ones. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Arrival} from './ArrivalPlan.js';
import {sendCall, type CallOptions, type CallResult} from './LoadCall.js';
import type {RoutingPolicy} from './RoutingPolicy.js';

/** Options of `runLoad`. */
export interface LoadRunOptions extends CallOptions {
  readonly arrivals: readonly Arrival[];
  readonly policy: RoutingPolicy;
  /** Open requests over which an arrival is not sent and counts as refused. */
  readonly maxOpenRequests: number;
}

/** Runs an open-loop load and returns what became of each arrival. */
export async function runLoad(options: LoadRunOptions): Promise<readonly CallResult[]> {
  const {arrivals, getNowMs, maxOpenRequests} = options;
  const startedAtMs = getNowMs();
  const results: CallResult[] = [];
  const open = new Set<Promise<void>>();
  for (const arrival of arrivals) {
    await sleep(Math.max(startedAtMs + arrival.atMs - getNowMs(), 0));
    if (open.size >= maxOpenRequests) {
      results.push(createUnsentResult(arrival, getNowMs()));
      continue;
    }
    const call = runCall(arrival, options).then(result => {
      results.push(result);
      open.delete(call);
    });
    open.add(call);
  }
  await Promise.all(open);
  return results;
}

async function runCall(arrival: Arrival, options: LoadRunOptions): Promise<CallResult> {
  const {policy, getNowMs} = options;
  const url = await policy.choose(arrival, getNowMs());
  try {
    return await sendCall(url, arrival, options);
  } finally {
    policy.release(url);
  }
}

function createUnsentResult(arrival: Arrival, nowMs: number): CallResult {
  return {
    arrival,
    startedAtMs: nowMs,
    isAnswered: false,
    totalMs: 0,
    promptTokens: 0,
    cachedTokens: 0,
    generatedTokens: 0,
  };
}
