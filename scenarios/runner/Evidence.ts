/** Queries over the evidence of a scenario: the stand-ins' ledgers and the callers' records. */
import type {RunEntry} from '../../standins/index.js';
import type {Target} from '../language/index.js';
import type {CallAttempt, CallRecord} from '../callers/index.js';

/** Returns the runs at backend servers that match a target. */
export function selectRuns(runs: readonly RunEntry[], target: Target): readonly RunEntry[] {
  const {instance, service, version, failureDomain} = target;
  return runs.filter(
    run =>
      (instance === undefined || run.instanceId === instance) &&
      (service === undefined || run.service === service) &&
      (version === undefined || run.version === version) &&
      (failureDomain === undefined || run.failureDomain === failureDomain),
  );
}

/** Returns the runs of a call, found by its marker; only works for bodies short enough to be in the ledger. */
export function findRuns(runs: readonly RunEntry[], {marker}: CallRecord): readonly RunEntry[] {
  return runs.filter(({body}) => body?.includes(marker) === true);
}

/** Returns whether an attempt got a complete successful response, with the expected text if there is one. */
export function isExpectedResponse(
  attempt: CallAttempt,
  expectedText: string | undefined,
): boolean {
  const {isWhole, status = 0} = attempt;
  if (!isWhole || status >= 300 || status < 200) return false;
  return expectedText === undefined || getResponseText(attempt) === expectedText;
}

/** Returns whether an attempt reached no entry, or was refused before any part of a response. */
export function isRefusal({isConnected, status = 0, run, tokens = []}: CallAttempt): boolean {
  if (!isConnected) return true;
  return status >= 400 && run !== undefined && tokens.length === 0;
}

/** Returns the attempts of a call and of its repeat. */
export function getAllAttempts({attempts, repeatAttempts}: CallRecord): readonly CallAttempt[] {
  return [...attempts, ...repeatAttempts];
}

function getResponseText({tokens, text}: CallAttempt): string | undefined {
  if (tokens) return tokens.join('');
  const completion = JSON.parse(text ?? '{}') as {
    readonly choices?: ReadonlyArray<{readonly message?: {readonly content?: string}}>;
  };
  return completion.choices?.[0]?.message?.content;
}
